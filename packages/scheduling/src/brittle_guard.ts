import {LRUCache} from 'lru-cache';
import {
  BRITTLE_CAUTION_MS,
  LIMIT_STATEMENT_TTL_MS,
  MAX_LIMITED_UPSTREAMS,
  MAX_QUEUE_ENTRIES,
  QUEUE_CONTACT_MS,
} from './constants.js';
import {mayRiskRejection, usableRejections} from './rejection_risk.js';
import type {BrittleRejection, UpstreamSpec} from './types.js';
import {upstreamLifeKey} from './upstream_limits.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import type {UpstreamShare} from './upstream_share.js';
import {shareOfMembers} from './upstream_share.js';
import type {UpstreamState} from './upstream_state.js';

/** The members that may own a queue, as its owner sees them. */
export interface QueueMembers {
  /** Id of the owner. */
  readonly localId: string;
  /** Whether a member can't be reached, and may own the queue as well. */
  readonly isSuspected: (memberId: string) => boolean;
  /** Whether any member is suspected. */
  readonly hasSuspects: () => boolean;
  /** Part of all members, from 0 to 1, that are not suspected. */
  readonly reachedPart: () => number;
  /** Number of all members, also those not reached. */
  readonly memberCount: () => number;
  /** All that don't leave, by their rank for a key; also those not reached. */
  readonly rankedFor: (key: string) => readonly string[];
}

/** Rejections of an upstream since it last accepted a request. */
interface Rejections {
  readonly lastMs: number;
  readonly streak: number;
}

const NO_REJECTIONS: Rejections = {lastMs: -Infinity, streak: 0};

/**
 * Keeps the requests of one service to brittle upstreams, which crash after too
 * many rejections, within what these bear. Outlives the service's queue, which
 * moves with each suspicion.
 */
export class BrittleGuard {
  /**
   * Time at which the queue was new, an upstream last rejected a request, or there
   * may have been another owner.
   */
  private lastDoubtMs = -Infinity;
  /** Time since which this owner keeps to its share. */
  private splitAtMs = -Infinity;
  /** Time at which the queue was opened last. */
  private openedAtMs = -Infinity;
  /** Rejections by the life of an upstream. */
  private readonly rejections = new LRUCache<string, Rejections>({
    max: MAX_LIMITED_UPSTREAMS,
  });
  /** Time of the last message of each entry. */
  private readonly contactMs = new LRUCache<string, number>({
    max: MAX_QUEUE_ENTRIES,
  });
  /** The limit that an upstream of the service named last, and when it was in force. */
  private lastNamed = {maxRejectionsPerS: 0, atMs: -Infinity};

  constructor(
    private readonly rateLimiter: UpstreamRateLimiter,
    private readonly members: QueueMembers,
  ) {}

  /** Records that the queue is new, and others may own it still. */
  recordOpened(nowMs: number): void {
    this.recordDoubt(nowMs);
    this.splitAtMs = nowMs;
    this.openedAtMs = nowMs;
  }

  /** Records a sign that others use the upstreams too. */
  recordDoubt(nowMs: number): void {
    const wasCertain = nowMs - this.lastDoubtMs >= BRITTLE_CAUTION_MS;
    this.lastDoubtMs = nowMs;
    if (wasCertain) this.splitAtMs = nowMs;
  }

  /** Records a message from a member that uses the queue. */
  recordContact(entryId: string, nowMs: number): void {
    this.contactMs.set(entryId, nowMs);
  }

  /** Records that an upstream accepted a request. */
  recordAccepted({spec}: UpstreamState): void {
    const key = upstreamLifeKey(spec);
    const {lastMs, streak} = this.rejections.get(key) ?? NO_REJECTIONS;
    if (streak > 0) this.rejections.set(key, {lastMs, streak: 0});
  }

  /**
   * Records that an upstream rejected a request, which shows that others use it
   * too; returns what was known, or null if it is not brittle.
   */
  recordRejection(
    state: UpstreamState,
    nowMs: number,
  ): BrittleRejection | null {
    const key = upstreamLifeKey(state.spec);
    const before = this.rejections.get(key) ?? NO_REJECTIONS;
    const sinceDoubtMs = nowMs - this.lastDoubtMs;
    this.rejections.set(key, {lastMs: nowMs, streak: before.streak + 1});
    this.recordDoubt(nowMs);
    const maxRejectionsPerS = this.limitOf(state, nowMs);
    if (maxRejectionsPerS === null) return null;
    const share = this.shareOf(state, maxRejectionsPerS, nowMs);
    return {
      maxRejectionsPerS,
      runs: state.runs.size - 1,
      knownFreeSlots: state.knownFreeSlots(nowMs),
      sinceRejectionMs:
        before.lastMs === -Infinity ? null : nowMs - before.lastMs,
      sinceDoubtMs: sinceDoubtMs === Infinity ? null : sinceDoubtMs,
      sinceSplitMs:
        this.splitAtMs === -Infinity ? null : nowMs - this.splitAtMs,
      slotsShared: share.slots,
      rejectionsShared: share.rejections,
    };
  }

  /**
   * Records what upstreams of the service named, for those that take their places
   * under other ids.
   */
  recordLimits(specs: readonly UpstreamSpec[], nowMs: number): void {
    for (const spec of specs) this.namedBy(spec, nowMs);
  }

  /** Whether an upstream may get another request. */
  permits(state: UpstreamState, nowMs: number): boolean {
    const maxRejectionsPerS = this.limitOf(state, nowMs);
    if (maxRejectionsPerS === null) return true;
    if (this.members.hasSuspects()) this.recordDoubt(nowMs);
    const {lastMs, streak} =
      this.rejections.get(upstreamLifeKey(state.spec)) ?? NO_REJECTIONS;
    return mayRiskRejection({
      maxRejectionsPerS,
      knownFreeSlots: state.knownFreeSlots(nowMs),
      runs: state.runs.size,
      unconfirmedRuns: state.unconfirmedRuns(nowMs),
      unstartedRuns: state.unstartedRuns,
      sinceRejectionMs: nowMs - lastMs,
      rejectionStreak: streak,
      sinceDoubtMs: nowMs - this.lastDoubtMs,
      sinceSplitMs: nowMs - this.splitAtMs,
      share: () => this.shareOf(state, maxRejectionsPerS, nowMs),
    });
  }

  /**
   * Rejections per second that an upstream bears; null if it is not brittle. One
   * that has not answered yet counts as brittle while others of its service are.
   */
  private limitOf(state: UpstreamState, nowMs: number): number | null {
    const named = this.namedBy(state.spec, nowMs);
    if (named !== null) return named;
    const {maxRejectionsPerS, atMs} = this.lastNamed;
    if (state.hasResponded || nowMs - atMs > LIMIT_STATEMENT_TTL_MS)
      return null;
    return maxRejectionsPerS;
  }

  private namedBy(spec: UpstreamSpec, nowMs: number): number | null {
    const named = this.rateLimiter.maxRejectionsPerS(spec, nowMs);
    if (named !== null) {
      this.lastNamed = {maxRejectionsPerS: named, atMs: nowMs};
    }
    return named;
  }

  private shareOf(
    {spec}: UpstreamState,
    maxRejectionsPerS: number,
    nowMs: number,
  ): UpstreamShare {
    const rejections = usableRejections(maxRejectionsPerS);
    const ranked = this.members.rankedFor(upstreamLifeKey(spec));
    return shareOfMembers({slots: spec.slots, rejections}, ranked, id =>
      this.usesQueue(id, nowMs),
    );
  }

  /** Whether a member asks no other queue than this one. */
  private usesQueue(memberId: string, nowMs: number): boolean {
    if (memberId === this.members.localId) return true;
    if (this.members.isSuspected(memberId)) return false;
    const atMs = this.contactMs.get(memberId) ?? -Infinity;
    if (nowMs - atMs <= QUEUE_CONTACT_MS) return true;
    // One without requests has none to report, and asks no queue at all.
    return nowMs - Math.max(atMs, this.openedAtMs) > LIMIT_STATEMENT_TTL_MS;
  }
}
