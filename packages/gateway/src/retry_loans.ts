import {LRUCache} from 'lru-cache';
import {MAX_RANKED_KEYS} from './constants.js';

/** The owner that an entry asked last, and when it last lent to one. */
interface Loan {
  readonly ownerId: string;
  readonly lentAtMs: number;
}

/**
 * What this entry lends of the retry budgets: its part of each, to one new owner in
 * a window. So what owners get that follow one another, or that entries take for the
 * owner at the same time, is bounded however often they change.
 */
export class RetryLoans {
  /** By service. */
  private readonly loans = new LRUCache<string, Loan>({max: MAX_RANKED_KEYS});

  constructor(
    /** Length of the budgets' window in milliseconds. */
    private readonly windowMs: () => number,
  ) {}

  /** Whether this entry lends to the owner that it is about to ask. */
  lendTo(service: string, ownerId: string, nowMs: number): boolean {
    const last = this.loans.get(service);
    const isNew = last?.ownerId !== ownerId;
    const isDue = nowMs - (last?.lentAtMs ?? -Infinity) >= this.windowMs();
    const lends = isNew && isDue;
    const lentAtMs = lends || !last ? nowMs : last.lentAtMs;
    if (isNew) this.loans.set(service, {ownerId, lentAtMs});
    return lends;
  }
}
