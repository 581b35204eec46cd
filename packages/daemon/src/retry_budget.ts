import {RETRY_BUDGET_MIN, RETRY_BUDGET_PERCENT} from './constants.js';

const PERCENT = 100;
const DECAY_ABOVE = 1_000;

/** Bounds retries to a share of the requests, so that they can't pile up. */
export class RetryBudget {
  private requests = 0;
  private retries = 0;

  /** Counts a first try. */
  recordRequest(): void {
    this.requests++;
    if (this.requests <= DECAY_ABOVE) return;
    this.requests /= 2;
    this.retries /= 2;
  }

  /** Takes one retry; false when the budget is spent. */
  takeRetry(): boolean {
    const share = (this.requests * RETRY_BUDGET_PERCENT) / PERCENT;
    if (this.retries >= Math.max(RETRY_BUDGET_MIN, share)) return false;
    this.retries++;
    return true;
  }
}
