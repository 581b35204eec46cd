import {
  BRITTLE_CAUTION_MS,
  BRITTLE_PAUSE_MS,
  BRITTLE_SETTLE_MS,
  BRITTLE_SHARE,
  MAX_REJECTION_STREAK,
} from './constants.js';
import type {UpstreamShare} from './upstream_share.js';

/** What decides whether an upstream may be at risk of one more rejection. */
export interface RejectionRisk {
  /** Rejections per second beyond which it crashes. */
  readonly maxRejectionsPerS: number;
  /** Slots that were free when it last told its load, less accepted requests. */
  readonly knownFreeSlots: number;
  /** Granted requests that have not ended. */
  readonly runs: number;
  /** Granted requests that were sent too recently to be rejected already. */
  readonly unconfirmedRuns: number;
  /** Granted requests that it has not begun to answer. */
  readonly unstartedRuns: number;
  /** Milliseconds since it last rejected a request. */
  readonly sinceRejectionMs: number;
  /** Rejections since it last accepted a request. */
  readonly rejectionStreak: number;
  /** Milliseconds since another dispatcher was likely to use the upstream too. */
  readonly sinceDoubtMs: number;
  /** Milliseconds since this dispatcher began to use its share. */
  readonly sinceSplitMs: number;
  /** What this dispatcher may use while there may be others. */
  readonly share: () => UpstreamShare;
}

/** Rejections that all dispatchers together may have an upstream make at a time. */
export function usableRejections(maxRejectionsPerS: number): number {
  const usable = Math.floor(maxRejectionsPerS * BRITTLE_SHARE);
  return maxRejectionsPerS < 1 ? 0 : Math.max(1, usable);
}

/**
 * Whether a request may be sent to an upstream that crashes after too many
 * rejections. Only as many requests are on their way at a time as it has room for
 * or may reject, and none for a while after a rejection.
 */
export function mayRiskRejection(risk: RejectionRisk): boolean {
  const {maxRejectionsPerS, knownFreeSlots, unconfirmedRuns} = risk;
  if (risk.sinceRejectionMs < BRITTLE_PAUSE_MS) return false;
  if (risk.sinceDoubtMs < BRITTLE_CAUTION_MS) return mayUseShare(risk);
  const rejected = Math.floor(maxRejectionsPerS * BRITTLE_SHARE);
  const accepted = Math.floor(knownFreeSlots * BRITTLE_SHARE);
  return unconfirmedRuns < Math.max(1, accepted + rejected);
}

/**
 * Whether a dispatcher that may not be the only one keeps to its share. While
 * requests of earlier dispatchers may still run, it sends only what may be
 * rejected, and only responses show that a request was accepted.
 */
function mayUseShare({
  runs,
  unconfirmedRuns,
  unstartedRuns,
  sinceRejectionMs,
  rejectionStreak,
  sinceSplitMs,
  share,
}: RejectionRisk): boolean {
  const {slots, rejections} = share();
  if (runs >= slots) return false;
  const streak = Math.min(rejectionStreak, MAX_REJECTION_STREAK);
  const settledAfterMs = BRITTLE_SETTLE_MS * 2 ** streak;
  const isSettled =
    sinceSplitMs >= BRITTLE_SETTLE_MS && sinceRejectionMs >= settledAfterMs;
  return isSettled
    ? unconfirmedRuns < Math.max(1, rejections)
    : unstartedRuns < rejections;
}
