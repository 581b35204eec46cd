import {RETRY_BUDGET_MIN, RETRY_BUDGET_PERCENT} from './constants.js';

const PERCENT = 100;
// Above this number both counts are halved, so that recent requests count more.
const MAX_COUNTED_REQUESTS = 1_000;

/** Limits retries to a share of the requests, which prevents retry storms. */
export class RetryBudget {
  private requests = 0;
  private retries = 0;

  /** Counts the first attempt of a request. */
  recordRequest(): void {
    this.requests++;
    if (this.requests <= MAX_COUNTED_REQUESTS) return;
    this.requests /= 2;
    this.retries /= 2;
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  takeRetry(): boolean {
    const share = (this.requests * RETRY_BUDGET_PERCENT) / PERCENT;
    if (this.retries >= Math.max(RETRY_BUDGET_MIN, share)) return false;
    this.retries++;
    return true;
  }
}
