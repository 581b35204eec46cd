import {MS_PER_SECOND} from '@fescuespool/common';
import {
  BEGUN_WORK_SHARE,
  MAX_RESERVED_PRIORITIES,
  MAX_UNLIMITED_MEMBERS,
  QUOTA_RESERVE_PER_PRIORITY,
  QUOTA_TOLERANCE_SHARE,
  UNCONFIRMED_SHARES,
} from './constants.js';

/** Quota of one account, in units such as tokens. */
export interface QuotaLimit {
  /** Units that are added per second. */
  readonly perSecond: number;
  /** Units that may be used at once. */
  readonly burst: number;
}

/** How far the use of all members together may exceed a quota. */
export interface QuotaTolerance {
  /** Window in milliseconds over which use is summed. */
  readonly windowMs: number;
  /** Permitted excess as a share of a window's quota. */
  readonly ratio: number;
  /** Permitted excess in units, beyond the ratio. */
  readonly extra: number;
}

/** Permits no use beyond the quota. */
const NO_TOLERANCE: QuotaTolerance = {windowMs: 0, ratio: 0, extra: 0};

/** Priority of requests that go on with work which has begun. */
export const BEGUN = 'begun';

/** Priority of a request within its account's quota; 0 is the highest number. */
export type QuotaPriority = number | typeof BEGUN;

/** What is known of an account's quota at one member, in its units. */
export interface QuotaState {
  readonly left: number;
  /** Used since the last exchange, less this member's part of the refill. */
  readonly unconfirmed: number;
  /** What may be used until the next exchange; Infinity in a small cluster. */
  readonly unconfirmedLimit: number;
  /** Units that a request may have if it is not to wait for a full bucket. */
  readonly capacity: number;
}

/** Token bucket of one account. */
interface Bucket {
  /** Units that are left; negative after use by other members. */
  level: number;
  /** Units used since the last exchange, less this member's part of the refill. */
  unconfirmed: number;
  filledAtMs: number;
  limit: QuotaLimit;
}

/**
 * Limits the use of client accounts across all members. Each member keeps a token
 * bucket for the whole quota and deducts the use that the others report. While
 * reports fail, the bucket refills at this member's share only.
 */
export class QuotaLedger {
  private readonly buckets = new Map<string, Bucket>();
  private readonly unreported = new Map<string, number>();
  private share = 1;
  private memberCount = 1;

  constructor(private tolerance: QuotaTolerance = NO_TOLERANCE) {}

  /** Replaces the tolerance; buckets adapt with their next use. */
  setTolerance(tolerance: QuotaTolerance): void {
    this.tolerance = tolerance;
  }

  /**
   * Sets the share of each quota, from 0 to 1, that this member's buckets hold and
   * are filled at from now on. A smaller one holds since the last exchange: it has to
   * cover what was used here since then.
   */
  setShare(share: number, nowMs: number): void {
    if (share === this.share) return;
    const kept = Math.min(1, share / this.share);
    for (const [account, bucket] of this.buckets) {
      this.fill(bucket, nowMs);
      const used = this.unreported.get(account) ?? 0;
      const covered = kept * (bucket.level + used) - used;
      bucket.level = Math.min(bucket.level, covered);
    }
    this.share = share;
  }

  /**
   * Charges units to an account. Returns 0 if they are within its quota; otherwise
   * charges nothing and returns the milliseconds until they would be.
   */
  charge(
    account: string,
    limit: QuotaLimit,
    units: number,
    nowMs: number,
    priority: QuotaPriority = 0,
  ): number {
    const waitMs = this.waitMs(account, limit, units, nowMs, priority);
    if (waitMs > 0) return waitMs;
    const bucket = this.bucketOf(account, limit, nowMs);
    bucket.level -= units;
    bucket.unconfirmed += units;
    this.addUnreported(account, units);
    return 0;
  }

  /**
   * Milliseconds until units would be within an account's quota; 0 if they are
   * now. Each priority reserves a part of the burst for the higher ones, so that
   * an account over its quota loses its least urgent requests first. Priority 0
   * is the highest; what has begun goes before it, and later requests pay for what
   * it is missing.
   */
  waitMs(
    account: string,
    limit: QuotaLimit,
    units: number,
    nowMs: number,
    priority: QuotaPriority = 0,
  ): number {
    const bucket = this.bucketOf(account, limit, nowMs);
    const reserve =
      priority === BEGUN
        ? -this.maxDebtOf(limit)
        : QUOTA_RESERVE_PER_PRIORITY *
          Math.min(priority, MAX_RESERVED_PRIORITIES) *
          limit.burst *
          this.share;
    // A request larger than the bucket is admitted when the bucket is full.
    const needed = Math.min(units + reserve, this.capacityOf(limit));
    const perMs = (limit.perSecond * this.share) / MS_PER_SECOND;
    if (bucket.level < needed) {
      return Math.max(1, Math.ceil((needed - bucket.level) / perMs));
    }
    const excess = bucket.unconfirmed + units - this.unconfirmedLimit(bucket);
    const missing = this.capacityOf(limit) - bucket.level;
    if (excess > 0 && missing > 0) {
      return Math.max(1, Math.ceil(Math.min(excess, missing) / perMs));
    }
    return 0;
  }

  /** State of an account's bucket at its last use; null if it has none. */
  stateOf(account: string): QuotaState | null {
    const bucket = this.buckets.get(account);
    if (!bucket) return null;
    return {
      left: bucket.level,
      unconfirmed: bucket.unconfirmed,
      unconfirmedLimit: this.unconfirmedLimit(bucket),
      capacity: this.capacityOf(bucket.limit),
    };
  }

  /** Drops the buckets of all accounts but these. */
  retain(accounts: ReadonlySet<string>): void {
    for (const account of this.buckets.keys()) {
      if (!accounts.has(account)) this.buckets.delete(account);
    }
  }

  /** Sets the number of members, which limits the use between two exchanges. */
  setMemberCount(count: number): void {
    this.memberCount = Math.max(1, count);
  }

  /** Creates the bucket of an account, so that it fills before its first use. */
  openBucket(account: string, limit: QuotaLimit, nowMs: number): void {
    this.bucketOf(account, limit, nowMs);
  }

  /** Gives back the units charged for a request that did not run. */
  refund(account: string, units: number): void {
    const bucket = this.buckets.get(account);
    if (!bucket) return;
    bucket.level += units;
    bucket.unconfirmed = Math.max(0, bucket.unconfirmed - units);
    this.addUnreported(account, -units);
  }

  /** Returns the usage since the last call, by account, and resets it. */
  takeUnreported(): Record<string, number> {
    const usage = Object.fromEntries(this.unreported);
    this.unreported.clear();
    return usage;
  }

  /** Adds the usage of a failed report to the next one. */
  restoreUnreported(usage: Readonly<Record<string, number>>): void {
    for (const [account, units] of Object.entries(usage)) {
      this.addUnreported(account, units);
    }
  }

  /**
   * Deducts the usage of other members, or the part of it that this member's
   * buckets have to cover, which completes an exchange.
   */
  applyOthersUsage(
    usage: Readonly<Record<string, number>>,
    coveredPart = 1,
  ): void {
    for (const bucket of this.buckets.values()) bucket.unconfirmed = 0;
    for (const [account, units] of Object.entries(usage)) {
      const bucket = this.buckets.get(account);
      if (bucket) bucket.level -= coveredPart * units;
    }
  }

  private addUnreported(account: string, units: number): void {
    const before = this.unreported.get(account) ?? 0;
    this.unreported.set(account, before + units);
  }

  /** Returns the refilled bucket of an account, which is created if missing. */
  private bucketOf(account: string, limit: QuotaLimit, nowMs: number): Bucket {
    const existing = this.buckets.get(account);
    if (!existing) {
      // Starts with the burst: earlier use is unknown, and after a restart of all
      // members the requests made in the meantime arrive at once.
      const level = limit.burst * this.share;
      const bucket = {level, unconfirmed: 0, filledAtMs: nowMs, limit};
      this.buckets.set(account, bucket);
      return bucket;
    }
    existing.limit = limit;
    this.fill(existing, nowMs);
    return existing;
  }

  /** Adds what has come in since a bucket was filled last. */
  private fill(bucket: Bucket, nowMs: number): void {
    const {limit, filledAtMs} = bucket;
    const passedMs = nowMs - filledAtMs;
    const filled = (passedMs * limit.perSecond * this.share) / MS_PER_SECOND;
    bucket.filledAtMs = nowMs;
    bucket.level = Math.min(this.capacityOf(limit), bucket.level + filled);
    const ownFilled = filled * this.unconfirmedShare;
    bucket.unconfirmed = Math.max(0, bucket.unconfirmed - ownFilled);
  }

  /** Part of what is left, and of the refill, that one member may use alone. */
  private get unconfirmedShare(): number {
    if (this.memberCount <= MAX_UNLIMITED_MEMBERS) return 1;
    // Of a share, only the members that it is for can use the same units.
    const sharing = Math.max(1, this.share * this.memberCount);
    return Math.min(1, UNCONFIRMED_SHARES / sharing);
  }

  /**
   * Units that one member may use before an exchange with the others: its part of
   * what was left then, and of the tolerance for what is not exchanged yet. Without
   * it, all members of a large cluster could use the same units at the same time;
   * by the burst alone, an account could not use its quota in large requests.
   */
  private unconfirmedLimit({level, unconfirmed, limit}: Bucket): number {
    if (this.memberCount <= MAX_UNLIMITED_MEMBERS) return Infinity;
    const left = Math.max(0, level + unconfirmed);
    return this.unconfirmedShare * left + this.unconfirmedToleranceOf(limit);
  }

  /** What one member may let begun work use beyond what is left. */
  private maxDebtOf(limit: QuotaLimit): number {
    return (BEGUN_WORK_SHARE * this.maxExcessOf(limit)) / this.memberCount;
  }

  /** One member's part of the tolerance for what is not exchanged yet. */
  private unconfirmedToleranceOf(limit: QuotaLimit): number {
    const tolerated = (1 - QUOTA_TOLERANCE_SHARE) * this.maxExcessOf(limit);
    return tolerated / this.memberCount;
  }

  /**
   * Units in a full bucket: the burst and a part of the tolerance. The rest of the
   * tolerance covers use that has not been exchanged yet.
   */
  private capacityOf(limit: QuotaLimit): number {
    const tolerated = QUOTA_TOLERANCE_SHARE * this.maxExcessOf(limit);
    return (Math.max(limit.burst, 1) + tolerated) * this.share;
  }

  /** Units by which all members together may exceed a quota in a window. */
  private maxExcessOf({perSecond, burst}: QuotaLimit): number {
    const {windowMs, ratio, extra} = this.tolerance;
    const perWindow = (perSecond * windowMs) / MS_PER_SECOND;
    return ratio * (perWindow + burst) + extra;
  }
}

/** Usage of one member as the hub tracks it, by account. */
interface MemberUsage {
  /** Units that the member has reported. */
  readonly own: Map<string, number>;
  /** Units used by others that the member has been sent. */
  readonly reportedOthers: Map<string, number>;
  /** Time of its last exchange. */
  lastExchangeMs: number;
}

/** Answer of the hub to a member's usage report. */
export interface UsageAnswer {
  /** Units that the others used since the last answer, by account. */
  readonly others: Record<string, number>;
  /**
   * Number of members that reported recently; null while the hub is too new for
   * all members to have reported to it.
   */
  readonly heard: number | null;
}

/** Sums the usage of all members and reports to each what the others used. */
export class UsageHub {
  private readonly totals = new Map<string, number>();
  private readonly members = new Map<string, MemberUsage>();
  /** Start of the current series of exchanges without a gap over the timeout. */
  private activeSinceMs = -Infinity;
  private lastExchangeMs = -Infinity;

  constructor(
    /** Milliseconds after its last exchange for which a member is counted. */
    private readonly timeoutMs: number,
    /** Milliseconds within which all members report to a new hub. */
    private readonly settleMs: number,
  ) {}

  /** Records a member's usage; returns that of the others since its last call. */
  exchange(
    memberId: string,
    usage: Readonly<Record<string, number>>,
    nowMs: number,
  ): UsageAnswer {
    if (nowMs - this.lastExchangeMs > this.timeoutMs)
      this.activeSinceMs = nowMs;
    this.lastExchangeMs = nowMs;
    const member = this.memberUsageOf(memberId);
    member.lastExchangeMs = nowMs;
    for (const [account, units] of Object.entries(usage)) {
      this.totals.set(account, (this.totals.get(account) ?? 0) + units);
      member.own.set(account, (member.own.get(account) ?? 0) + units);
    }
    const others: Record<string, number> = {};
    for (const [account, total] of this.totals) {
      const byOthers = total - (member.own.get(account) ?? 0);
      const newUnits = byOthers - (member.reportedOthers.get(account) ?? 0);
      if (newUnits === 0) continue;
      others[account] = newUnits;
      member.reportedOthers.set(account, byOthers);
    }
    return {others, heard: this.countActiveMembers(nowMs)};
  }

  /** Counts recently active members; null until all have had time to report. */
  private countActiveMembers(nowMs: number): number | null {
    // Members that have not reported to a new hub yet may still be alive.
    if (nowMs - this.activeSinceMs < this.settleMs) return null;
    let count = 0;
    for (const {lastExchangeMs} of this.members.values()) {
      if (nowMs - lastExchangeMs <= this.timeoutMs) count++;
    }
    return count;
  }

  private memberUsageOf(memberId: string): MemberUsage {
    const existing = this.members.get(memberId);
    if (existing) return existing;
    // A new member's buckets aren't charged for use before it joined.
    const member = {
      own: new Map<string, number>(),
      reportedOthers: new Map(this.totals),
      lastExchangeMs: -Infinity,
    };
    this.members.set(memberId, member);
    return member;
  }
}
