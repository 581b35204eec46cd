import {BRITTLE_PAUSE_MS, BRITTLE_RISK_SHARE} from './constants.js';

/** What decides whether an upstream may be at risk of one more rejection. */
export interface RejectionRisk {
  /** Rejections per second beyond which it crashes; null for no such limit. */
  readonly maxRejectionsPerS: number | null;
  /** Granted requests that it has not begun to answer, so may still reject. */
  readonly unconfirmedRuns: number;
  /** Milliseconds since it last rejected a request. */
  readonly sinceRejectionMs: number;
}

/**
 * Whether a request may be sent to an upstream that crashes after too many
 * rejections. Only as many requests as it may reject are on their way at a time,
 * and none for a while after a rejection. Each dispatcher uses a part of that,
 * since there may be two for a service.
 */
export function mayRiskRejection({
  maxRejectionsPerS,
  unconfirmedRuns,
  sinceRejectionMs,
}: RejectionRisk): boolean {
  if (maxRejectionsPerS === null) return true;
  if (sinceRejectionMs < BRITTLE_PAUSE_MS) return false;
  const limit = Math.floor(maxRejectionsPerS * BRITTLE_RISK_SHARE);
  return unconfirmedRuns < Math.max(1, limit);
}
