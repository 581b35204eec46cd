import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {START_TIMEOUT_MS} from './constants.js';
import {HarnessError} from './errors.js';

/** Start of the output line with which a script reports readiness. */
const READY_PREFIX = 'ready ';

/** A child process of a fleet. */
export class FleetProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Rest of the output line that reported readiness. */
    readonly readyText: string,
    /** Last lines of its standard error. */
    readonly stderrLines: string[],
  ) {}

  /**
   * Starts a Node.js script and waits until it reports readiness. Throws
   * HarnessError if it exits first or takes longer than START_TIMEOUT_MS.
   */
  static async start(
    script: string,
    args: readonly string[],
  ): Promise<FleetProcess> {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const stderrLines: string[] = [];
    createInterface({input: child.stderr!}).on('line', line => {
      stderrLines.push(line);
      if (stderrLines.length > 2_000) stderrLines.shift();
    });
    const lines = createInterface({input: child.stdout!});
    const ready = new Promise<string>((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new HarnessError(`${script} did not report readiness in time`),
          ),
        START_TIMEOUT_MS,
      );
      lines.on('line', line => {
        if (!line.startsWith(READY_PREFIX)) return;
        clearTimeout(timer);
        resolve(line.slice(READY_PREFIX.length));
      });
      child.once('exit', code => {
        clearTimeout(timer);
        const tail = stderrLines.slice(-5).join('\n');
        reject(new HarnessError(`${script} exited with code ${code}: ${tail}`));
      });
    });
    return new FleetProcess(child, await ready, stderrLines);
  }

  /** Process identifier; 0 if the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has not ended yet. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Exit code, or null while it runs or after a signal. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process with SIGKILL and waits until it has ended. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    const exitEvent = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exitEvent;
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<void> {
    if (this.isRunning) await once(this.child, 'exit');
  }
}
