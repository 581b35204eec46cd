import {MS_PER_SECOND} from '@fescuespool/common';
import {
  MAX_RESERVED_RANKS,
  MAX_UNCONFIRMED_BURSTS,
  QUOTA_RESERVE_PER_RANK,
  QUOTA_TOLERANCE_SHARE,
} from './constants.js';

/** What an account may use. */
export interface QuotaLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** By how much the sum over all members may exceed a quota. */
export interface QuotaTolerance {
  /** Window in milliseconds over which use is summed. */
  readonly windowMs: number;
  /** Part of a window's quota that may be exceeded. */
  readonly ratio: number;
  /** Units beyond that. */
  readonly extra: number;
}

/** No use beyond the quota. */
const STRICT: QuotaTolerance = {windowMs: 0, ratio: 0, extra: 0};

interface Bucket {
  level: number;
  /** Units beyond the refill that were used since the last exchange. */
  unconfirmed: number;
  filledAtMs: number;
  limit: QuotaLimit;
}

/**
 * Quotas of client accounts over all members: each holds a bucket for the whole
 * quota and takes out of it what the others report. While reports fail, the
 * bucket fills at this member's share only.
 */
export class QuotaLedger {
  private readonly buckets = new Map<string, Bucket>();
  private readonly unreported = new Map<string, number>();
  private share = 1;
  private members = 1;

  constructor(private tolerance: QuotaTolerance = STRICT) {}

  /** Uses another tolerance from now on. */
  setTolerance(tolerance: QuotaTolerance): void {
    this.tolerance = tolerance;
  }

  /** Sets the part of each quota that this member's bucket is filled with. */
  setShare(share: number): void {
    this.share = share;
  }

  /**
   * Charges units to an account. Answers 0 where they are within its quota, and
   * else the milliseconds until they would be; nothing is charged then. Each rank
   * leaves a part of the burst to those above it, so that an account which asks
   * for too much loses its least urgent requests.
   */
  charge(
    account: string,
    limit: QuotaLimit,
    units: number,
    nowMs: number,
    rank = 0,
  ): number {
    const bucket = this.bucketOf(account, limit, nowMs);
    const ranks = Math.min(rank, MAX_RESERVED_RANKS);
    const reserve = QUOTA_RESERVE_PER_RANK * ranks * limit.burst * this.share;
    // A request larger than the burst passes when the bucket is full.
    const needed = Math.min(units + reserve, this.capacityOf(limit));
    const perMs = (limit.perSecond * this.share) / MS_PER_SECOND;
    if (bucket.level < needed) {
      return Math.max(1, Math.ceil((needed - bucket.level) / perMs));
    }
    const excess = bucket.unconfirmed + units - this.unconfirmedLimit(limit);
    const missing = this.capacityOf(limit) - bucket.level;
    if (excess > 0 && missing > 0) {
      return Math.max(1, Math.ceil(Math.min(excess, missing) / perMs));
    }
    bucket.level -= units;
    bucket.unconfirmed += units;
    this.addUnreported(account, units);
    return 0;
  }

  /** Tells how many members there are. */
  setMemberCount(count: number): void {
    this.members = Math.max(1, count);
  }

  /** Starts the bucket of an account, so that it fills before it is used. */
  openBucket(account: string, limit: QuotaLimit, nowMs: number): void {
    this.bucketOf(account, limit, nowMs);
  }

  /** Gives back what was charged for a request that did not run. */
  refund(account: string, units: number): void {
    const bucket = this.buckets.get(account);
    if (!bucket) return;
    bucket.level += units;
    bucket.unconfirmed = Math.max(0, bucket.unconfirmed - units);
    this.addUnreported(account, -units);
  }

  /** Usage since the last call, by account. */
  takeUnreported(): Record<string, number> {
    const usage = Object.fromEntries(this.unreported);
    this.unreported.clear();
    return usage;
  }

  /** Keeps usage for the next report, where one was not taken. */
  restoreUnreported(usage: Readonly<Record<string, number>>): void {
    for (const [account, units] of Object.entries(usage)) {
      this.addUnreported(account, units);
    }
  }

  /** Takes out what other members used; ends an exchange. */
  applyOthersUsage(usage: Readonly<Record<string, number>>): void {
    for (const bucket of this.buckets.values()) bucket.unconfirmed = 0;
    for (const [account, units] of Object.entries(usage)) {
      const bucket = this.buckets.get(account);
      if (bucket) bucket.level -= units;
    }
  }

  private addUnreported(account: string, units: number): void {
    const before = this.unreported.get(account) ?? 0;
    this.unreported.set(account, before + units);
  }

  private bucketOf(account: string, limit: QuotaLimit, nowMs: number): Bucket {
    const known = this.buckets.get(account);
    if (!known) {
      // Past use is unknown, and after a restart of all members what was asked
      // meanwhile comes at once.
      const level = limit.burst * this.share;
      const bucket = {level, unconfirmed: 0, filledAtMs: nowMs, limit};
      this.buckets.set(account, bucket);
      return bucket;
    }
    const passedMs = nowMs - known.filledAtMs;
    const filled = (passedMs * limit.perSecond * this.share) / MS_PER_SECOND;
    known.filledAtMs = nowMs;
    known.limit = limit;
    known.level = Math.min(this.capacityOf(limit), known.level + filled);
    known.unconfirmed = Math.max(0, known.unconfirmed - filled);
    return known;
  }

  /**
   * What one member may use of a burst before it has heard from the others. All
   * members of a large fleet could use the same burst at the same moment.
   */
  private unconfirmedLimit({burst}: QuotaLimit): number {
    if (this.members <= MAX_UNCONFIRMED_BURSTS) return Infinity;
    return (MAX_UNCONFIRMED_BURSTS / this.members) * burst;
  }

  /**
   * What a full bucket holds: the burst, and a part of what the quota may be
   * exceeded by. The rest is left for use that was not exchanged yet.
   */
  private capacityOf(limit: QuotaLimit): number {
    const {windowMs, ratio, extra} = this.tolerance;
    const perWindow = (limit.perSecond * windowMs) / MS_PER_SECOND;
    const exceeded = ratio * (perWindow + limit.burst) + extra;
    const tolerated = QUOTA_TOLERANCE_SHARE * exceeded;
    return (Math.max(limit.burst, 1) + tolerated) * this.share;
  }
}

/** What a hub knows of one member. */
interface MemberUsage {
  /** What it used itself. */
  readonly own: Map<string, number>;
  /** What it was told that the others used. */
  readonly told: Map<string, number>;
  heardAtMs: number;
}

/** Answer of the hub to a member. */
export interface UsageAnswer {
  /** What the others used since the last answer, by account. */
  readonly others: Record<string, number>;
  /** Members whose use is known; null while the hub is too new to tell. */
  readonly heard: number | null;
}

/** Adds up what the members used, and tells each what the others did. */
export class UsageHub {
  private readonly totals = new Map<string, number>();
  private readonly members = new Map<string, MemberUsage>();
  /** Start of the time in which members ask this hub without a long pause. */
  private activeFromMs = -Infinity;
  private askedAtMs = -Infinity;

  constructor(
    /** Time in milliseconds for which a member counts as heard. */
    private readonly heardForMs: number,
    /** Time in milliseconds in which all members turn to a new hub. */
    private readonly settleMs: number,
  ) {}

  /** Takes a member's usage and answers that of the others since its last. */
  exchange(
    memberId: string,
    usage: Readonly<Record<string, number>>,
    nowMs: number,
  ): UsageAnswer {
    if (nowMs - this.askedAtMs > this.heardForMs) this.activeFromMs = nowMs;
    this.askedAtMs = nowMs;
    const ledger = this.ledgerOf(memberId);
    ledger.heardAtMs = nowMs;
    for (const [account, units] of Object.entries(usage)) {
      this.totals.set(account, (this.totals.get(account) ?? 0) + units);
      ledger.own.set(account, (ledger.own.get(account) ?? 0) + units);
    }
    const others: Record<string, number> = {};
    for (const [account, total] of this.totals) {
      const byOthers = total - (ledger.own.get(account) ?? 0);
      const news = byOthers - (ledger.told.get(account) ?? 0);
      if (news === 0) continue;
      others[account] = news;
      ledger.told.set(account, byOthers);
    }
    return {others, heard: this.countHeard(nowMs)};
  }

  private countHeard(nowMs: number): number | null {
    // Those that have not asked yet are not lost.
    if (nowMs - this.activeFromMs < this.settleMs) return null;
    let heard = 0;
    for (const {heardAtMs} of this.members.values()) {
      if (nowMs - heardAtMs <= this.heardForMs) heard++;
    }
    return heard;
  }

  private ledgerOf(memberId: string): MemberUsage {
    const known = this.members.get(memberId);
    if (known) return known;
    // A new member does not owe what was used before it came.
    const ledger = {
      own: new Map<string, number>(),
      told: new Map(this.totals),
      heardAtMs: -Infinity,
    };
    this.members.set(memberId, ledger);
    return ledger;
  }
}
