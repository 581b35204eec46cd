import {
  TOP_TIER_ANY_SLOT_WAIT_MS,
  TOP_TIER_PREEMPT_WAIT_MS,
  URGENT_SLACK_MS,
} from './constants.js';
import type {PlacementPolicy} from './placement.js';
import type {Placement, TierQueue, WaitingRequest} from './tier_queue.js';
import type {GrantRequest} from './types.js';
import type {UpstreamState} from './upstream_state.js';

const MS_PER_SECOND = 1_000;

/** Inputs of the search for the next placement. */
export interface PlacementSearchOptions {
  readonly nowMs: number;
  readonly policy: PlacementPolicy;
  readonly random: () => number;
  /** Whether an upstream died while it ran a request of this fingerprint. */
  readonly hasRecordedDeath: (request: GrantRequest) => boolean;
}

/**
 * Shortest service time in milliseconds on any usable upstream, without the
 * wait for a slot; Infinity if none is usable.
 */
export function shortestServiceMs(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
): number {
  const usable = upstreams.filter(upstream => upstream.isUsable);
  const {request, expectedTokens} = waiting;
  const seconds = usable.map(upstream =>
    upstream.serviceSeconds(request, expectedTokens),
  );
  return Math.min(...seconds) * MS_PER_SECOND;
}

/** Whether a request is urgent: lower-tier runs may be preempted for it. */
export function isUrgent(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
): boolean {
  return needsSlotNow(waiting, upstreams, nowMs, TOP_TIER_PREEMPT_WAIT_MS);
}

/**
 * Whether a request of the highest tier has waited `topTierWaitMs`, or a
 * request of any tier has less slack than `URGENT_SLACK_MS`.
 */
function needsSlotNow(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
  topTierWaitMs: number,
): boolean {
  const waitedMs = nowMs - waiting.arrivedAtMs;
  if (waiting.request.tier === 0 && waitedMs >= topTierWaitMs) return true;
  const slack =
    waiting.deadlineAtMs - nowMs - shortestServiceMs(waiting, upstreams);
  return slack < URGENT_SLACK_MS;
}

/**
 * Whether a request takes any free slot, even where its prefix is not cached.
 * The highest tier waits longer before this than before it preempts.
 */
function mustTakeAnySlot(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
): boolean {
  // Otherwise the slot freed by preemption would go back to the lower tier.
  if (waiting.victimId !== null) return true;
  return needsSlotNow(waiting, upstreams, nowMs, TOP_TIER_ANY_SLOT_WAIT_MS);
}

function candidatesFor(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  options: PlacementSearchOptions,
): UpstreamState[] {
  const usable = upstreams.filter(
    upstream =>
      upstream.isUsable && !request.excluded.includes(upstream.spec.id),
  );
  // A request that may have crashed an upstream must not crash the last one.
  if (usable.length <= 1 && options.hasRecordedDeath(request)) return [];
  return usable;
}

/** Placements of a tier, used only if none of its requests fits better. */
interface Fallbacks {
  /** First urgent request, on any free slot. */
  urgent: Placement | null;
  /** First request expected to miss its deadline, on its preferred upstream. */
  late: Placement | null;
}

/**
 * Finds the next request to start. Within a tier, requests whose preferred
 * upstream has a free slot go first; an urgent request takes any free slot
 * before a lower tier does. Urgency gives no priority over the same tier: it
 * would trade one deadline for another and lose a cached prefix as well.
 */
export function findPlacement(
  queue: TierQueue,
  upstreams: readonly UpstreamState[],
  options: PlacementSearchOptions,
): Placement | null {
  const {policy} = options;
  const hasFreeSlot = upstreams.some(upstream => upstream.freeSlots > 0);
  if (policy.honoursSlots && !hasFreeSlot) return null;
  const ahead = new Map<string, number>();
  for (const tier of queue.windows()) {
    const fallbacks: Fallbacks = {urgent: null, late: null};
    for (const waiting of tier) {
      const found = tryPlace(waiting, upstreams, options, ahead, fallbacks);
      if (found) return found;
    }
    const fallback = fallbacks.urgent ?? fallbacks.late;
    if (fallback) return fallback;
  }
  return null;
}

function tryPlace(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  options: PlacementSearchOptions,
  ahead: Map<string, number>,
  fallbacks: Fallbacks,
): Placement | null {
  const {policy, nowMs, random} = options;
  const {request, expectedTokens, deadlineAtMs} = waiting;
  const candidates = candidatesFor(request, upstreams, options);
  if (candidates.length === 0) return null;
  const remainingMs = deadlineAtMs - nowMs;
  const context = {nowMs, expectedTokens, ahead, remainingMs, random};
  const best = policy.choose(request, candidates, context);
  if (!best) return null;
  const isFree = best.freeSlots > 0;
  if (!policy.honoursSlots) return {waiting, upstream: best};
  if (!policy.honoursTiers) return isFree ? {waiting, upstream: best} : null;
  waiting.isExpectedLate =
    best.serviceSeconds(request, expectedTokens) * MS_PER_SECOND > remainingMs;
  const {isExpectedLate} = waiting;
  if (isFree && !isExpectedLate) return {waiting, upstream: best};
  if (isFree) fallbacks.late ??= {waiting, upstream: best};
  ahead.set(best.spec.id, (ahead.get(best.spec.id) ?? 0) + 1);
  if (isFree || isExpectedLate || fallbacks.urgent) return null;
  if (!mustTakeAnySlot(waiting, upstreams, nowMs)) return null;
  const free = candidates.filter(upstream => upstream.freeSlots > 0);
  const fallbackUpstream = policy.choose(request, free, context);
  if (fallbackUpstream)
    fallbacks.urgent = {waiting, upstream: fallbackUpstream};
  return null;
}
