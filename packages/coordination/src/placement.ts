import {
  DECODE_WEIGHT,
  EVICTION_WEIGHT,
  PLACEMENT_POLICY,
  PREFILL_WEIGHT,
} from './constants.js';
import {ownerOf} from './rendezvous.js';
import type {GrantRequest, PlacementPolicyName} from './types.js';
import type {UpstreamState} from './upstream_state.js';

const TIE_BREAK_SECONDS = 0.001;
const MS_PER_SECOND = 1_000;
const MAX_HASHED_BLOCKS = 4;

/** Inputs of a placement decision besides the request and the upstreams. */
export interface PlacementContext {
  readonly nowMs: number;
  readonly expectedTokens: number;
  /** Number of requests ahead of this one, by the upstream they wait for. */
  readonly ahead: ReadonlyMap<string, number>;
  /** Time in milliseconds until the request's deadline. */
  readonly remainingMs: number;
  readonly random: () => number;
}

/** Chooses the upstream to run on or wait for; null if there is none. */
export type ChooseUpstream = (
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  context: PlacementContext,
) => UpstreamState | null;

/** A placement policy and the cell's rules that apply to it. */
export interface PlacementPolicy {
  readonly choose: ChooseUpstream;
  /** Whether a request waits until its upstream has a free slot. */
  readonly honoursSlots: boolean;
  /** Whether tiers, deadlines and preemption apply. */
  readonly honoursTiers: boolean;
}

/** Returns the first item with the lowest cost, or null without items. */
export function minBy<T>(
  items: readonly T[],
  cost: (item: T) => number,
): T | null {
  let best: T | null = null;
  let lowest = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value >= lowest && best !== null) continue;
    best = item;
    lowest = value;
  }
  return best;
}

/**
 * Weighted cost in seconds of running a request on an upstream, including the
 * wait for a slot and the prefix blocks that it evicts.
 */
export function estimateCost(
  request: GrantRequest,
  upstream: UpstreamState,
  context: PlacementContext,
): number {
  const ahead = context.ahead.get(upstream.spec.id) ?? 0;
  const slotWait = upstream.slotWaitSeconds(ahead, context.nowMs);
  const load = upstream.runs.size / upstream.spec.slots;
  if (!upstream.spec.isModel) {
    return slotWait + (upstream.serviceMs / MS_PER_SECOND) * (1 + load);
  }
  const prefill = upstream.uncachedTokens(request) / upstream.prefillRate;
  const evicted = upstream.prefixes.evictedTokens(request.prefixHashes);
  const eviction = evicted / upstream.prefillRate;
  const decode =
    (context.expectedTokens * upstream.tokenIntervalMs) / MS_PER_SECOND;
  const cost =
    upstream.pendingPrefillSeconds +
    PREFILL_WEIGHT * prefill +
    EVICTION_WEIGHT * eviction +
    DECODE_WEIGHT * decode +
    slotWait +
    TIE_BREAK_SECONDS * load;
  const finishSeconds =
    slotWait + upstream.pendingPrefillSeconds + prefill + decode;
  // Adds 1000 s, so that upstreams that meet the deadline are preferred.
  return finishSeconds * MS_PER_SECOND > context.remainingMs
    ? cost + 1_000
    : cost;
}

function chooseLowestCost(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  context: PlacementContext,
): UpstreamState | null {
  return minBy(upstreams, upstream => estimateCost(request, upstream, context));
}

function createRoundRobin(): ChooseUpstream {
  const nextByEntry = new Map<string, number>();
  return (request, upstreams) => {
    const next = nextByEntry.get(request.entryId) ?? 0;
    nextByEntry.set(request.entryId, next + 1);
    return upstreams[next % upstreams.length] ?? null;
  };
}

function chooseLeastReportedLoad(
  _request: GrantRequest,
  upstreams: readonly UpstreamState[],
): UpstreamState | null {
  return minBy(
    upstreams,
    upstream => (upstream.lastLoad?.running ?? 0) / upstream.spec.slots,
  );
}

function chooseOfTwo(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  context: PlacementContext,
): UpstreamState | null {
  const pick = (): UpstreamState | undefined =>
    upstreams[Math.floor(context.random() * upstreams.length)];
  const pair = [pick(), pick()].filter(item => item !== undefined);
  return minBy(pair, upstream => {
    const local = [...upstream.runs.values()].filter(
      run => run.request.entryId === request.entryId,
    ).length;
    const reported = upstream.lastLoad?.running ?? 0;
    return Math.max(local, reported) / upstream.spec.slots;
  });
}

function choosePrefixOwner(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
): UpstreamState | null {
  const hashes = request.prefixHashes.slice(0, MAX_HASHED_BLOCKS);
  const key = hashes.at(-1) ?? request.fingerprint;
  const owner = ownerOf(
    upstreams.map(upstream => upstream.spec.id),
    key,
  );
  return upstreams.find(upstream => upstream.spec.id === owner) ?? null;
}

function chooseFreeSlot(
  _request: GrantRequest,
  upstreams: readonly UpstreamState[],
): UpstreamState | null {
  const free = upstreams.filter(upstream => upstream.freeSlots > 0);
  const candidates = free.length > 0 ? free : upstreams;
  return minBy(
    candidates,
    upstream => upstream.runs.size / upstream.spec.slots,
  );
}

const WITHOUT_LIMITS = {honoursSlots: false, honoursTiers: false};

/** Creates a placement policy; some baselines ignore slots and tiers. */
export function createPlacementPolicy(
  name: PlacementPolicyName,
): PlacementPolicy {
  switch (name) {
    case PLACEMENT_POLICY.PRICED:
      return {
        choose: chooseLowestCost,
        honoursSlots: true,
        honoursTiers: true,
      };
    case PLACEMENT_POLICY.ROUND_ROBIN:
      return {choose: createRoundRobin(), ...WITHOUT_LIMITS};
    case PLACEMENT_POLICY.LEAST_LOAD:
      return {choose: chooseLeastReportedLoad, ...WITHOUT_LIMITS};
    case PLACEMENT_POLICY.TWO_CHOICES:
      return {choose: chooseOfTwo, ...WITHOUT_LIMITS};
    case PLACEMENT_POLICY.PREFIX_HASH:
      return {choose: choosePrefixOwner, ...WITHOUT_LIMITS};
    case PLACEMENT_POLICY.QUEUE_HEAD:
      return {choose: chooseFreeSlot, honoursSlots: true, honoursTiers: true};
  }
}
