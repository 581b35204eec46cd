import {MS_PER_SECOND} from '@fescuespool/common';
import {MAX_RETRY_AFTER_S} from './constants.js';
import {shortestServiceMs} from './placement_search.js';
import type {TierQueue, WaitingRequest} from './tier_queue.js';
import type {GrantRequest} from './types.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

const MIN_RETRY_AFTER_MS = 1_000;
/** Fraction of the service time below which a request cannot finish in time. */
const MIN_REMAINING_FRACTION = 0.5;

/**
 * Estimated milliseconds until a new request would start: the number of waiting
 * requests of its own and higher tiers, divided by the rate at which slots
 * become free.
 */
export function estimateWaitMs(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  queue: TierQueue,
): number {
  let ahead = 0;
  for (let tier = 0; tier <= request.tier; tier++)
    ahead += queue.waitingCountInTier(tier);
  if (ahead === 0) return 0;
  let slotsPerSecond = 0;
  for (const upstream of upstreams) {
    if (!upstream.isUsable) continue;
    const seconds = upstream.serviceSeconds(request, request.maxTokens / 2);
    slotsPerSecond += upstream.slotLimit / Math.max(seconds, 0.001);
  }
  if (slotsPerSecond === 0) return request.remainingMs;
  return (ahead * MS_PER_SECOND) / slotsPerSecond;
}

/** Clamps an estimated wait in milliseconds to the range of Retry-After. */
export function clampRetryAfterMs(waitMs: number): number {
  const bound = MAX_RETRY_AFTER_S * MS_PER_SECOND;
  return Math.min(bound, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/**
 * Whether a request can't meet its deadline on any upstream, even if it got a
 * slot at once; false if no upstream is usable.
 */
export function isDeadlineUnreachable(
  waiting: WaitingRequest,
  upstreams: readonly UpstreamState[],
  nowMs: number,
): boolean {
  const serviceMs = shortestServiceMs(waiting, upstreams);
  if (!Number.isFinite(serviceMs)) return false;
  return waiting.deadlineAtMs - nowMs < serviceMs * MIN_REMAINING_FRACTION;
}

/** Whether a lower tier waits or can be preempted, and so is shed first. */
export function hasLowerTierWork(
  tier: number,
  queue: TierQueue,
  runs: Iterable<ActiveRun>,
): boolean {
  if (queue.lastBelowTier(tier)) return true;
  for (const run of runs) {
    if (run.request.tier > tier && run.request.preemptible) return true;
  }
  return false;
}
