import {
  MEMBERS_EXTRA_SHARE,
  RETRY_EXTRA_SHARE,
  RETRY_RATIO_SHARE,
} from './constants.js';

/** Limit on retries over any time window of the given length. */
export interface RetryBudgetBounds {
  /** Retries per first send in the window. */
  readonly ratio: number;
  /** Fixed number of retries, beyond the ratio. */
  readonly extra: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

/** What a retry budget holds, and what it decided since it exists. */
export interface RetryCounts {
  /** Retries that may be granted at once. */
  readonly retriesLeft: number;
  /** Requests that added their share to the budget. */
  readonly requestsCounted: number;
  readonly retriesGranted: number;
  readonly retriesRefused: number;
}

/**
 * Retry budget of a service: a token bucket that holds the fixed part and is
 * refilled by requests. This keeps the limit over every window, since no window
 * can spend more than a full bucket and what its own requests add.
 */
export class RetryBudget {
  private tokens: number;
  private filledAtMs: number | null = null;
  private readonly count = {
    requestsCounted: 0,
    retriesGranted: 0,
    retriesRefused: 0,
  };

  constructor(
    private bounds: RetryBudgetBounds,
    /** Part of all members, from 0 to 1, that the budget's owner reaches. */
    private readonly reachedPart: () => number = () => 1,
  ) {
    this.tokens = this.capacity;
  }

  /** Retries that may be granted at once, and what was decided so far. */
  get counts(): RetryCounts {
    return {...this.count, retriesLeft: this.tokens};
  }

  /** Replaces the bounds; tokens above the new capacity are discarded. */
  setBounds(bounds: RetryBudgetBounds): void {
    this.bounds = bounds;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Adds the share of a retry that a first send permits. */
  recordRequest(): void {
    this.count.requestsCounted++;
    const share = this.bounds.ratio * RETRY_RATIO_SHARE;
    this.tokens = Math.min(this.capacity, this.tokens + share);
  }

  /** Takes one retry; returns false if the budget is spent. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) {
      this.count.retriesRefused++;
      return false;
    }
    this.count.retriesGranted++;
    this.tokens -= 1;
    return true;
  }

  /** Returns a retry that was taken for a request that got no upstream. */
  giveBack(): void {
    this.count.retriesGranted--;
    this.tokens = Math.min(this.capacity, this.tokens + 1);
  }

  /** Refills the fixed part over two windows, half of it in each. */
  private refill(nowMs: number): void {
    const passedMs = nowMs - (this.filledAtMs ?? nowMs);
    this.filledAtMs = nowMs;
    const perMs = this.capacity / (2 * this.bounds.windowMs);
    this.tokens = Math.min(this.capacity, this.tokens + passedMs * perMs);
  }

  private get capacity(): number {
    const part = this.reachedPart();
    const share =
      part < 1
        ? Math.min(RETRY_EXTRA_SHARE, part * MEMBERS_EXTRA_SHARE)
        : RETRY_EXTRA_SHARE;
    return Math.max(1, this.bounds.extra * share);
  }
}
