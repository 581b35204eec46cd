import {mayRiskRejection} from './rejection_risk.js';
import type {BrittleRejection} from './types.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import type {UpstreamState} from './upstream_state.js';

/**
 * Keeps the requests of one queue to brittle upstreams, which crash after too many
 * rejections, within what these bear.
 */
export class BrittleGuard {
  /**
   * Time at which the queue was new, an upstream last rejected a request, or there
   * may have been another owner.
   */
  private lastDoubtMs: number;

  /** `createdAtMs` is in monotonic milliseconds. */
  constructor(
    private readonly rateLimiter: UpstreamRateLimiter,
    /** Whether a member that can't be reached may own the queue as well. */
    private readonly mayHaveOtherOwner: () => boolean,
    createdAtMs: number,
  ) {
    this.lastDoubtMs = createdAtMs;
  }

  /** Records a sign that others use the upstreams too. */
  recordDoubt(nowMs: number): void {
    this.lastDoubtMs = nowMs;
  }

  /** What is known of an upstream that rejects a request; null if not brittle. */
  describeRejection(
    state: UpstreamState,
    nowMs: number,
  ): BrittleRejection | null {
    const {spec, lastRejectionMs} = state;
    const maxRejectionsPerS = this.rateLimiter.maxRejectionsPerS(spec, nowMs);
    if (maxRejectionsPerS === null) return null;
    return {
      maxRejectionsPerS,
      runs: state.runs.size - 1,
      knownFreeSlots: state.knownFreeSlots(nowMs),
      sinceRejectionMs:
        lastRejectionMs === -Infinity ? null : nowMs - lastRejectionMs,
      sinceDoubtMs: nowMs - this.lastDoubtMs,
    };
  }

  /** Whether an upstream may get another request. */
  permits(state: UpstreamState, nowMs: number): boolean {
    const {spec} = state;
    const maxRejectionsPerS = this.rateLimiter.maxRejectionsPerS(spec, nowMs);
    if (maxRejectionsPerS === null) return true;
    if (this.mayHaveOtherOwner()) this.recordDoubt(nowMs);
    return mayRiskRejection({
      maxRejectionsPerS,
      knownFreeSlots: state.knownFreeSlots(nowMs),
      unconfirmedRuns: state.unconfirmedRuns(nowMs),
      unstartedRuns: state.unstartedRuns,
      sinceRejectionMs: nowMs - state.lastRejectionMs,
      sinceDoubtMs: nowMs - this.lastDoubtMs,
    });
  }
}
