import {TOP_TIER_MAX_WAIT_MS, URGENT_SLACK_MS} from './constants.js';
import type {PlacementPolicy} from './placement.js';
import {minBy} from './placement.js';
import type {Placement, TierQueue, WaitingRequest} from './tier_queue.js';
import type {GrantRequest} from './types.js';
import type {UpstreamState} from './upstream_state.js';

const MS = 1_000;

/** What the search for the next placement depends on. */
export interface SearchOptions {
  readonly nowMs: number;
  readonly policy: PlacementPolicy;
  readonly random: () => number;
  /** Whether an upstream has died with such a request in flight. */
  readonly isSuspect: (request: GrantRequest) => boolean;
}

/** Shortest service in milliseconds on any usable upstream, without waiting. */
export function bestServiceMs(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
): number {
  const usable = upstreams.filter(upstream => upstream.isUsable);
  const {request, expectedTokens} = waiting;
  const seconds = usable.map(upstream =>
    upstream.serviceSeconds(request, expectedTokens),
  );
  return Math.min(...seconds) * MS;
}

/** Whether a request must take the first slot that it can get. */
export function isUrgent(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
): boolean {
  const waitedMs = nowMs - waiting.arrivedAtMs;
  if (waiting.request.tier === 0 && waitedMs >= TOP_TIER_MAX_WAIT_MS) {
    return true;
  }
  const slack =
    waiting.deadlineAtMs - nowMs - bestServiceMs(waiting, upstreams);
  return slack < URGENT_SLACK_MS;
}

function candidatesFor(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  options: SearchOptions,
): UpstreamState[] {
  const usable = upstreams.filter(
    upstream =>
      upstream.isUsable && !request.excluded.includes(upstream.spec.id),
  );
  // A request that may have killed an upstream must not reach the last one.
  if (usable.length <= 1 && options.isSuspect(request)) return [];
  return usable;
}

/** Finds the first waiting request that can start now, in tier order. */
export function findPlacement(
  queue: TierQueue,
  upstreams: readonly UpstreamState[],
  options: SearchOptions,
): Placement | null {
  const {policy, nowMs, random} = options;
  const hasFreeSlot = upstreams.some(upstream => upstream.freeSlots > 0);
  if (policy.honoursSlots && !hasFreeSlot) return null;
  const ahead = new Map<string, number>();
  for (const waiting of queue.window()) {
    const {request, expectedTokens, deadlineAtMs} = waiting;
    const candidates = candidatesFor(request, upstreams, options);
    if (candidates.length === 0) continue;
    const remainingMs = deadlineAtMs - nowMs;
    const context = {nowMs, expectedTokens, ahead, remainingMs, random};
    const best = policy.choose(request, candidates, context);
    if (!best) continue;
    if (!policy.honoursSlots) return {waiting, upstream: best};
    if (best.freeSlots > 0) return {waiting, upstream: best};
    if (policy.honoursTiers && isUrgent(waiting, upstreams, nowMs)) {
      const free = candidates.filter(upstream => upstream.freeSlots > 0);
      const first =
        policy.choose(request, free, context) ?? minBy(free, () => 0);
      if (first) return {waiting, upstream: first};
    }
    ahead.set(best.spec.id, (ahead.get(best.spec.id) ?? 0) + 1);
  }
  return null;
}
