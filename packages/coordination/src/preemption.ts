import {PREFILL_WEIGHT} from './constants.js';
import {minBy} from './placement.js';
import type {WaitingRequest} from './tier_queue.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

const TIER_WEIGHT_MS = 1e9;
const MS_PER_SECOND = 1_000;

/**
 * Selects the run to preempt for an urgent request: of the lowest tier, and
 * within it the run with the lowest cost. The cost is the time that the run has
 * spent, plus the weighted prefill of the urgent request on that upstream. Null
 * if a slot is free or no preemptible run has a lower tier.
 */
export function findVictim(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
): ActiveRun | null {
  const {tier, excluded} = waiting.request;
  const usable = upstreams.filter(
    upstream => upstream.isUsable && !excluded.includes(upstream.spec.id),
  );
  if (usable.some(upstream => upstream.freeSlots > 0)) return null;
  const lower = usable
    .flatMap(upstream => [...upstream.runs.values()])
    .filter(run => isPreemptibleBelow(run, tier));
  const prefillMsByUpstream = new Map(
    usable.map(upstream => [
      upstream.spec.id,
      (upstream.uncachedTokens(waiting.request) * MS_PER_SECOND) /
        upstream.prefillRate,
    ]),
  );
  return minBy(lower, run => {
    const spentMs = nowMs - run.startedAtMs;
    const prefillMs =
      PREFILL_WEIGHT * (prefillMsByUpstream.get(run.upstreamId) ?? 0);
    return spentMs + prefillMs - run.request.tier * TIER_WEIGHT_MS;
  });
}

function isPreemptibleBelow(run: ActiveRun, tier: number): boolean {
  return (
    run.request.tier > tier &&
    run.request.preemptible &&
    run.preemptedAtMs === null &&
    run.orphanedAtMs === null
  );
}

/** Preemptible run of the lowest tier below `tier`, or null. */
export function lowestTierRun(
  runs: Iterable<ActiveRun>,
  tier: number,
): ActiveRun | null {
  const lower = [...runs].filter(run => isPreemptibleBelow(run, tier));
  return minBy(lower, run => -run.request.tier);
}
