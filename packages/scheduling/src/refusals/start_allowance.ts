/** Share of the starts that are within the allowance. */
const COVERED_SHARE = 0.8;

/** Step by which one start moves the factor: adapts within some tens of them. */
const STEP = 0.1;

/** Highest factor: a few upstreams that hang don't stand for all others. */
const MAX_FACTOR = 8;

/** Largest share of a caller's patience that is kept for the start. */
const MAX_PATIENCE_SHARE = 0.4;

/**
 * Learns how much longer requests take to start than on the fastest upstream if it
 * were idle, so that none is placed too late to start while its caller waits.
 */
export class StartAllowance {
  private factor = 1;

  /** Adds the time to a first byte; `idleMs` is that on the fastest upstream. */
  observe(idleMs: number, startMs: number): void {
    if (idleMs <= 0) return;
    // Moves to the quantile at which rises and falls are in balance.
    const isCovered = startMs <= this.factor * idleMs;
    const change = STEP * (isCovered ? COVERED_SHARE - 1 : COVERED_SHARE);
    this.factor = Math.min(MAX_FACTOR, Math.max(1, this.factor + change));
  }

  /** Milliseconds to keep for the start of a request. */
  allowanceMs(idleMs: number, patienceMs: number): number {
    const mostMs = Math.max(idleMs, MAX_PATIENCE_SHARE * patienceMs);
    return Math.min(mostMs, this.factor * idleMs);
  }
}
