import {LRUCache} from 'lru-cache';
import {
  LENT_EXTRA_SHARE,
  MAX_QUEUE_ENTRIES,
  MEMBERS_EXTRA_SHARE,
  OPENING_RETRIES,
  QUEUE_CONTACT_MS,
  RETRY_EXTRA_SHARE,
  RETRY_RATIO_SHARE,
  STANDBY_EXTRA_SHARE,
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

/** What the owner of a budget knows of its place among the members. */
export interface BudgetOwner {
  /** Part of all members, from 0 to 1, that it reaches. */
  readonly reachedPart: () => number;
  /** Number of all members, which lend equal parts to new owners. */
  readonly memberCount: () => number;
  /**
   * Its rank for the queue among all members, suspected ones too; 0 for the first,
   * and -1 for one that leaves.
   */
  readonly rank: () => number;
}

const SOLE_OWNER: BudgetOwner = {
  reachedPart: () => 1,
  memberCount: () => 1,
  rank: () => 0,
};

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
 * can spend more than a full bucket and what its own requests add. It opens almost
 * empty, as others may have spent theirs just before. What entries lend to it adds
 * up to a fixed share, as each entry lends to one owner in a window.
 *
 * Members that suspect different ones ask several owners at once. Only the one that
 * ranks first has the fixed part, as the others can't tell whether it is in use.
 */
export class RetryBudget {
  private tokens: number;
  private filledAtMs: number | null = null;
  /** Whether its owner ranked first when it was opened. */
  private wasFirst = false;
  /** Time of the last message of each entry that uses it. */
  private readonly contactMs = new LRUCache<string, number>({
    max: MAX_QUEUE_ENTRIES,
  });
  private lastContactMs = -Infinity;
  private readonly count = {
    requestsCounted: 0,
    retriesGranted: 0,
    retriesRefused: 0,
  };

  constructor(
    private bounds: RetryBudgetBounds,
    private readonly owner: BudgetOwner = SOLE_OWNER,
  ) {
    this.tokens = Math.min(OPENING_RETRIES, this.capacity);
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

  /** Opens the budget for a queue; only a first member's goes on as it was. */
  open(nowMs: number): void {
    if (this.isFirst && this.wasFirst) return;
    this.reset(nowMs);
  }

  /** Discards all but a few of the tokens that are left. */
  reset(nowMs: number): void {
    this.recordRank(nowMs);
    this.tokens = Math.min(this.tokens, OPENING_RETRIES);
  }

  /** Adapts the budget if another member has come to rank first. */
  recordRanks(nowMs: number): void {
    if (this.isFirst === this.wasFirst) return;
    // A member that comes to rank first holds only what entries lent to it.
    if (this.isFirst) this.recordRank(nowMs);
    else this.reset(nowMs);
  }

  /** Records a message from an entry that uses the queue. */
  recordContact(entryId: string, nowMs: number): void {
    this.lastContactMs = nowMs;
    this.tokens = Math.min(this.tokens, this.capacity);
    this.contactMs.set(entryId, nowMs);
  }

  /** Adds what an entry lends that had another owner before, or none. */
  recordLoan(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.loan);
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

  private recordRank(nowMs: number): void {
    this.filledAtMs = nowMs;
    this.wasFirst = this.isFirst;
  }

  /** Refills the fixed part over two windows, half of it in each. */
  private refill(nowMs: number): void {
    const passedMs = nowMs - (this.filledAtMs ?? nowMs);
    this.filledAtMs = nowMs;
    if (!this.isFirst) return;
    const perMs = this.fixedPart / (2 * this.bounds.windowMs);
    this.tokens = Math.min(this.capacity, this.tokens + passedMs * perMs);
  }

  private get loan(): number {
    return (this.bounds.extra * LENT_EXTRA_SHARE) / this.owner.memberCount();
  }

  private get fixedPart(): number {
    const part = this.owner.reachedPart();
    const share =
      part < 1
        ? Math.min(RETRY_EXTRA_SHARE, part * MEMBERS_EXTRA_SHARE)
        : RETRY_EXTRA_SHARE;
    return this.bounds.extra * share;
  }

  private get isFirst(): boolean {
    return this.owner.rank() === 0;
  }

  private get capacity(): number {
    if (this.isFirst) return Math.max(1, this.fixedPart);
    const lent = this.loan * this.userCount;
    return this.isStandby ? Math.max(1, lent) : lent;
  }

  /**
   * Whether it may gather a whole retry from its requests however few entries use
   * it; if all members could, they would together exceed the limit.
   */
  private get isStandby(): boolean {
    const count = Math.floor(this.bounds.extra * STANDBY_EXTRA_SHARE);
    const rank = this.owner.rank();
    return rank > 0 && rank <= Math.max(1, count);
  }

  /** Number of entries that ask no other owner, as their messages are recent. */
  private get userCount(): number {
    const sinceMs = this.lastContactMs - QUEUE_CONTACT_MS;
    return [...this.contactMs.values()].filter(at => at >= sinceMs).length;
  }
}
