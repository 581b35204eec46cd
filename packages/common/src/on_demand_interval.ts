/**
 * Calls a function at an interval, but only while there is something to do, since
 * each wake-up of an idle process costs processor time.
 */
export class OnDemandInterval {
  private timer: NodeJS.Timeout | null = null;
  private isClosed = false;

  constructor(
    private readonly intervalMs: number,
    /** Returns whether it is to be called again. */
    private readonly callback: () => boolean,
  ) {}

  /** Starts the calls; returns false if they go on already. */
  start(): boolean {
    if (this.timer || this.isClosed) return false;
    this.timer = setInterval(() => {
      if (!this.callback()) this.stop();
    }, this.intervalMs);
    return true;
  }

  /** Stops the calls for good. */
  close(): void {
    this.isClosed = true;
    this.stop();
  }

  private stop(): void {
    if (this.timer) clearInterval(this.timer);
    this.timer = null;
  }
}
