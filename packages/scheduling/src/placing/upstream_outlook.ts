import type {LatencyEstimator} from '../latency_estimator.js';
import type {UpstreamState} from '../upstream_state.js';
import type {NeighbourStream, UpstreamOutlook} from './stream_outlook.js';

/**
 * Factor of an upstream that has read no prompt yet, for those behind the one that
 * shows its speed.
 */
const UNKNOWN_FACTOR = 2;

/**
 * Multiple of its predicted start time, and milliseconds on top, that a run may
 * take before its age counts as evidence of a slower upstream.
 */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_MS = 50;

/** Reads off an upstream's state what the placing of streams goes by. */
export function outlookOf(
  state: UpstreamState,
  latency: LatencyEstimator,
  nowMs: number,
): UpstreamOutlook {
  const {speed} = state;
  const isProbed = speed.lastingRatio === null && state.unstartedRuns > 0;
  const factor = latency.slowdownOf(state) * (isProbed ? UNKNOWN_FACTOR : 1);
  const neighbours: NeighbourStream[] = [];
  let shortestGapMs = Infinity;
  for (const {tier, maxEventGapMs} of state.runs.values()) {
    if (maxEventGapMs === null) continue;
    neighbours.push({tier, maxEventGapMs});
    shortestGapMs = Math.min(shortestGapMs, maxEventGapMs);
  }
  return {
    factor,
    startFactor: Math.max(factor, overdueFactor(state, latency, nowMs)),
    toldSlowdown: speed.toldSlowdown,
    slowdownTrust: speed.slowdownTrust(nowMs),
    unreadTokens: latency.unreadTokens(state, nowMs),
    runMs: latency.predictRunMs(state),
    neighbours,
    shortestGapMs,
  };
}

/** Factor that the age of the first unstarted run shows; 0 if it is not overdue. */
function overdueFactor(
  state: UpstreamState,
  {times}: LatencyEstimator,
  nowMs: number,
): number {
  const first = state.firstUnstarted();
  if (first === null || first.medianReadMs === 0) return 0;
  const ageMs = nowMs - first.grantedAtMs;
  const isOverdue = ageMs > OVERDUE_FACTOR * first.expectedStartMs + OVERDUE_MS;
  return isOverdue ? (ageMs - times.baseMs()) / first.medianReadMs : 0;
}
