import {PREFILL_WEIGHT} from './constants.js';
import {minBy} from './placement.js';
import type {WaitingRequest} from './tier_queue.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

const TIER_WEIGHT = 1e9;
const MS = 1_000;

/**
 * Chooses the run to cancel for an urgent request: of the lowest tier, and
 * there the one that costs least: the time that it has spent, and the prefill of the
 * urgent request on its engine. Null where a slot is free or
 * nothing of a lower tier runs.
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
  const missMs = new Map(
    usable.map(upstream => [
      upstream.spec.id,
      (upstream.uncachedTokens(waiting.request) * MS) / upstream.prefillRate,
    ]),
  );
  return minBy(lower, run => {
    const spentMs = nowMs - run.startedAtMs;
    const prefillMs = PREFILL_WEIGHT * (missMs.get(run.upstreamId) ?? 0);
    return spentMs + prefillMs - run.request.tier * TIER_WEIGHT;
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

/** The run of the lowest tier below the given one, or null. */
export function lowestTierRun(
  runs: Iterable<ActiveRun>,
  tier: number,
): ActiveRun | null {
  const lower = [...runs].filter(run => isPreemptibleBelow(run, tier));
  return minBy(lower, run => -run.request.tier);
}
