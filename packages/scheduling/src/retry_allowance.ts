import {RETRY_EXTRA_SHARE, RETRY_RATIO_SHARE} from './constants.js';

/** Bound on what is sent more than once, over any window of its length. */
export interface RetryBudgetBounds {
  /** Retries for each request of the window. */
  readonly ratio: number;
  /** Retries beyond the ratio. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Retries that a service may still take. A bucket that holds the fixed part and
 * is filled by requests keeps the bound over every window: no window can spend
 * more than a full bucket and what its own requests add.
 */
export class RetryBudget {
  private tokens: number;
  private filledAtMs: number | null = null;

  constructor(private bounds: RetryBudgetBounds) {
    this.tokens = this.capacity;
  }

  /** Uses other bounds from now on. */
  setBounds(bounds: RetryBudgetBounds): void {
    this.bounds = bounds;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Counts a first send. */
  recordRequest(): void {
    const share = this.bounds.ratio * RETRY_RATIO_SHARE;
    this.tokens = Math.min(this.capacity, this.tokens + share);
  }

  /** Takes one retry; false where the budget is spent. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** The fixed part comes back over two windows, half of it in each. */
  private refill(nowMs: number): void {
    const passedMs = nowMs - (this.filledAtMs ?? nowMs);
    this.filledAtMs = nowMs;
    const perMs = this.capacity / (2 * this.bounds.windowMs);
    this.tokens = Math.min(this.capacity, this.tokens + passedMs * perMs);
  }

  private get capacity(): number {
    return Math.max(1, this.bounds.extra * RETRY_EXTRA_SHARE);
  }
}
