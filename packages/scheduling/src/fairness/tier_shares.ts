import {workOf} from './request_work.js';
import type {GrantRequest} from '../types.js';

/** Time constant in milliseconds with which work that an account got is forgotten. */
const MEMORY_MS = 5_000;

/** Milliseconds without a request after which an account wants no room. */
const WANTED_TTL_MS = 2_000;

/** Interval in milliseconds at which the work is decayed and accounts are dropped. */
const DECAY_INTERVAL_MS = 100;

/** Multiple of its share up to which an account counts as within it. */
const TOLERANCE = 1.5;

/** Multiple of the tolerated work at which the level rises by one. */
const LEVEL_FACTOR = 2;

/** Highest level: sixteen accounts at most can tell more of them apart. */
const MAX_LEVEL = 3;

/** Mean requests beyond its share that never count against an account. */
const ALLOWED_REQUESTS = 2;

/** Maximum number of accounts that are told apart in a tier; bounds memory. */
const MAX_ACCOUNTS = 4_096;

interface AccountUse {
  /** Work of the contested grants, decayed. */
  work: number;
  quotaPerS: number | null;
  wantedAtMs: number;
}

/** The use that the client accounts made of contested room in one tier. */
export class TierShares {
  private readonly accounts = new Map<string | null, AccountUse>();
  private work = 0;
  private grants = 0;
  private decayedAtMs = -Infinity;
  /** Sum of the known quotas, and the number of accounts that have one. */
  private quotaSum = 0;
  private quotaCount = 0;

  /** Records that a request wants room. */
  recordWanted(request: GrantRequest, nowMs: number): void {
    this.useOf(request, nowMs);
  }

  /** Records that a request got room that others waited for. */
  recordContested(request: GrantRequest, nowMs: number): void {
    const use = this.useOf(request, nowMs);
    if (!use) return;
    const work = workOf(request);
    use.work += work;
    this.work += work;
    this.grants++;
  }

  /**
   * 0 for an account within its share of the contested room of the last seconds;
   * higher, up to `MAX_LEVEL`, the more it had beyond that.
   */
  levelOf({account}: GrantRequest, nowMs: number): number {
    this.decay(nowMs);
    const use = this.accounts.get(account);
    if (!use || this.grants === 0) return 0;
    const share = (this.work * this.weightOf(use)) / this.weightSum;
    const allowance = (ALLOWED_REQUESTS * this.work) / this.grants;
    const tolerated = Math.max(TOLERANCE * share, share + allowance);
    if (use.work <= tolerated) return 0;
    const level =
      1 + Math.floor(Math.log(use.work / tolerated) / Math.log(LEVEL_FACTOR));
    return Math.min(MAX_LEVEL, level);
  }

  private useOf(
    {account, accountQuotaPerS: quotaPerS}: GrantRequest,
    nowMs: number,
  ): AccountUse | null {
    this.decay(nowMs);
    const existing = this.accounts.get(account);
    if (!existing && this.accounts.size >= MAX_ACCOUNTS) return null;
    const use = existing ?? {work: 0, quotaPerS: null, wantedAtMs: nowMs};
    if (!existing) this.accounts.set(account, use);
    this.countQuota(use, -1);
    // A quota of nothing is no share to go by.
    use.quotaPerS = quotaPerS !== null && quotaPerS > 0 ? quotaPerS : null;
    this.countQuota(use, 1);
    use.wantedAtMs = nowMs;
    return use;
  }

  /** Its quota; where it has none, the mean of those that are known. */
  private weightOf({quotaPerS}: AccountUse): number {
    return quotaPerS ?? this.meanQuota;
  }

  private get weightSum(): number {
    const withoutQuota = this.accounts.size - this.quotaCount;
    return this.quotaSum + withoutQuota * this.meanQuota;
  }

  private get meanQuota(): number {
    return this.quotaCount === 0 ? 1 : this.quotaSum / this.quotaCount;
  }

  private countQuota({quotaPerS}: AccountUse, sign: 1 | -1): void {
    if (quotaPerS === null) return;
    this.quotaCount += sign;
    this.quotaSum += sign * quotaPerS;
  }

  /** Forgets work with its age, and accounts that want nothing any more. */
  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.decayedAtMs;
    if (elapsedMs < DECAY_INTERVAL_MS) return;
    const factor = Math.exp(-elapsedMs / MEMORY_MS);
    this.decayedAtMs = nowMs;
    this.grants *= factor;
    // Summed anew, so that rounding can't add up.
    this.work = 0;
    this.quotaSum = 0;
    this.quotaCount = 0;
    for (const [account, use] of this.accounts) {
      use.work *= factor;
      const isWanted = nowMs - use.wantedAtMs < WANTED_TTL_MS;
      if (!isWanted && use.work < 1) {
        this.accounts.delete(account);
        continue;
      }
      this.work += use.work;
      this.countQuota(use, 1);
    }
  }
}
