import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {START_TIMEOUT_MS} from './constants.js';
import {HarnessError} from './errors.js';

const READY = 'ready ';

/** A process of the fleet. */
export class FleetProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** What the process said when it was ready. */
    readonly readyText: string,
    /** Lines of its standard error, the last ones. */
    readonly stderrLines: string[],
  ) {}

  /** Starts a Node.js script and waits until it is ready. */
  static async start(
    script: string,
    args: readonly string[],
  ): Promise<FleetProcess> {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log: string[] = [];
    createInterface({input: child.stderr!}).on('line', line => {
      log.push(line);
      if (log.length > 2_000) log.shift();
    });
    const lines = createInterface({input: child.stdout!});
    const ready = new Promise<string>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new HarnessError(`${script} is not ready`)),
        START_TIMEOUT_MS,
      );
      lines.on('line', line => {
        if (!line.startsWith(READY)) return;
        clearTimeout(timer);
        resolve(line.slice(READY.length));
      });
      child.once('exit', code => {
        clearTimeout(timer);
        const tail = log.slice(-5).join('\n');
        reject(new HarnessError(`${script} ended with ${code}: ${tail}`));
      });
    });
    return new FleetProcess(child, await ready, log);
  }

  /** Process identifier. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process still runs. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Exit code, or null while it runs or after a signal. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    const exitEvent = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exitEvent;
  }

  /** Waits for the end of the process. */
  async waitForExit(): Promise<void> {
    if (this.isRunning) await once(this.child, 'exit');
  }
}
