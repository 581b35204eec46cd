import type {Clock} from './types.js';

/** Interval in milliseconds at which a process notes that it runs. */
export const STALL_WATCH_INTERVAL_MS = 100;

/** Tells for how long a process may not have run, or seen what came, until now. */
export class StallWatch {
  private readonly timer: NodeJS.Timeout;
  private notedMs: number;
  /** The time before that; the latest may follow a stall at once. */
  private previousMs: number;

  constructor(private readonly clock: Clock) {
    this.notedMs = this.previousMs = clock.monotonicMs();
    this.timer = setInterval(() => this.note(), STALL_WATCH_INTERVAL_MS);
    this.timer.unref();
  }

  /**
   * Most milliseconds by which what is seen now, such as a signal, may be late; 0
   * if the process runs as usual.
   */
  get latenessMs(): number {
    const sinceMs = this.clock.monotonicMs() - this.previousMs;
    return Math.max(0, sinceMs - 2 * STALL_WATCH_INTERVAL_MS);
  }

  /** Stops the watch. */
  close(): void {
    clearInterval(this.timer);
  }

  private note(): void {
    this.previousMs = this.notedMs;
    this.notedMs = this.clock.monotonicMs();
  }
}
