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
const MS = 1_000;
const HASHED_BLOCKS = 4;

/** What a policy sees besides the request and the upstreams. */
export interface PlacementContext {
  readonly nowMs: number;
  readonly expectedTokens: number;
  /** Requests that wait for each upstream before this one. */
  readonly ahead: ReadonlyMap<string, number>;
  /** Time in milliseconds until the request's deadline. */
  readonly remainingMs: number;
  readonly random: () => number;
}

/** Chooses the upstream that a request should run on, or wait for. */
export type ChooseUpstream = (
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
  context: PlacementContext,
) => UpstreamState | null;

/** A placement policy and whether the cell's limits bind it. */
export interface PlacementPolicy {
  readonly choose: ChooseUpstream;
  /** Whether a request waits for a free slot of its upstream. */
  readonly honoursSlots: boolean;
  /** Whether tiers, deadlines and preemption are honoured. */
  readonly honoursTiers: boolean;
}

/** Picks the item with the lowest cost. */
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

/** Price in seconds of running a request on an upstream. */
export function estimateCost(
  request: GrantRequest,
  upstream: UpstreamState,
  context: PlacementContext,
): number {
  const ahead = context.ahead.get(upstream.spec.id) ?? 0;
  const slotWait = upstream.slotWaitSeconds(ahead, context.nowMs);
  const load = upstream.runs.size / upstream.spec.slots;
  if (!upstream.spec.isModel) {
    return slotWait + (upstream.serviceMs / MS) * (1 + load);
  }
  const prefill = upstream.uncachedTokens(request) / upstream.prefillRate;
  const evicted = upstream.prefixes.evictedTokens(request.prefixHashes);
  const eviction = evicted / upstream.prefillRate;
  const decode = (context.expectedTokens * upstream.tokenIntervalMs) / MS;
  const price =
    upstream.pendingPrefillSeconds +
    PREFILL_WEIGHT * prefill +
    EVICTION_WEIGHT * eviction +
    DECODE_WEIGHT * decode +
    slotWait +
    TIE_BREAK_SECONDS * load;
  const inTime = slotWait + upstream.pendingPrefillSeconds + prefill + decode;
  // An upstream that misses the deadline comes after all that meet it.
  return inTime * MS > context.remainingMs ? price + 1_000 : price;
}

function choosePriced(
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

function chooseLeastReported(
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

function choosePrefixHash(
  request: GrantRequest,
  upstreams: readonly UpstreamState[],
): UpstreamState | null {
  const hashes = request.prefixHashes.slice(0, HASHED_BLOCKS);
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

const PER_ENTRY = {honoursSlots: false, honoursTiers: false};

/** Makes a placement policy by its name. */
export function createPlacementPolicy(
  name: PlacementPolicyName,
): PlacementPolicy {
  switch (name) {
    case PLACEMENT_POLICY.PRICED:
      return {choose: choosePriced, honoursSlots: true, honoursTiers: true};
    case PLACEMENT_POLICY.ROUND_ROBIN:
      return {choose: createRoundRobin(), ...PER_ENTRY};
    case PLACEMENT_POLICY.LEAST_LOAD:
      return {choose: chooseLeastReported, ...PER_ENTRY};
    case PLACEMENT_POLICY.TWO_CHOICES:
      return {choose: chooseOfTwo, ...PER_ENTRY};
    case PLACEMENT_POLICY.PREFIX_HASH:
      return {choose: choosePrefixHash, ...PER_ENTRY};
    case PLACEMENT_POLICY.QUEUE_HEAD:
      return {choose: chooseFreeSlot, honoursSlots: true, honoursTiers: true};
  }
}
