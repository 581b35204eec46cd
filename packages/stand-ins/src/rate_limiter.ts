const WINDOW_MS = 1_000;

/** Counts calls in windows of a second and refuses those above the rates. */
export class RateLimiter {
  private windowStart = 0;
  private reads = 0;
  private writes = 0;
  private peakReads = 0;
  private peakWrites = 0;

  constructor(
    private readonly rate: {readonly READS: number; readonly WRITES: number},
  ) {}

  /** Takes one call into account; false when it exceeds its rate. */
  tryAcquire(isWrite: boolean): boolean {
    const now = Date.now();
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.reads = 0;
      this.writes = 0;
    }
    if (isWrite) this.writes++;
    else this.reads++;
    this.peakReads = Math.max(this.peakReads, this.reads);
    this.peakWrites = Math.max(this.peakWrites, this.writes);
    return isWrite
      ? this.writes <= this.rate.WRITES
      : this.reads <= this.rate.READS;
  }

  /** Most calls seen in one second. */
  peaks(): {readonly peakReads: number; readonly peakWrites: number} {
    return {peakReads: this.peakReads, peakWrites: this.peakWrites};
  }
}
