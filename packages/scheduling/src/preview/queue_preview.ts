import type {ValueOf} from '@fescuespool/common';
import type {HeldTokens} from '../prefix/prompt_prefixes.js';
import type {RefusalForecast} from '../refusals/refusal_policy.js';
import {hasRequiredVersion} from '../required_version.js';
import type {QueueRefusal} from '../types.js';
import type {Candidate, UpstreamChoice} from '../upstream_choice.js';
import type {UpstreamRateLimiter} from '../upstream_rate_limiter.js';
import type {UpstreamState} from '../upstream_state.js';
import type {WaitingRequest} from '../waiting_request.js';

/** Most upstreams that a preview lists. */
const MAX_PREVIEWED_UPSTREAMS = 32;

/** What would become of a request now. */
export const PREVIEW_OUTCOME = {
  PLACED: 'placed',
  WAITS: 'waits',
  REFUSED: 'refused',
} as const;

/** Why a request would be placed at its upstream, or wait. */
export const PREVIEW_REASON = {
  CHEAPEST: 'cheapest',
  /** It is late already, so that the cheapest upstream is taken. */
  CHEAPEST_LATE: 'cheapest_though_late',
  NO_ROOM: 'no_room',
  /** Another upstream serves it sooner, although it has no room yet. */
  BETTER_SOON: 'better_upstream_soon',
} as const;

/** Why an upstream can't be given a request now. */
export const PREVIEW_OBSTACLE = {
  OTHER_VERSION: 'other_version',
  LEAVING: 'leaving',
  UNHEALTHY: 'backing_off',
  PAUSED: 'paused',
  LIMITED: 'at_rate_limit',
  FULL: 'full',
} as const;

/** An obstacle by its name. */
export type PreviewObstacle = ValueOf<typeof PREVIEW_OBSTACLE>;

/** An upstream as a preview weighs it; times in milliseconds. */
export interface PreviewedUpstream {
  readonly instanceId: string;
  readonly zone: string;
  /** Null if it can be given the request. */
  readonly obstacle: PreviewObstacle | null;
  readonly startMs: number;
  readonly costMs: number;
  readonly heldTokens: number;
  readonly freeSlots: number;
}

/** Where a request would go now, and why; times in milliseconds. */
export interface QueuePreview {
  readonly outcome: ValueOf<typeof PREVIEW_OUTCOME>;
  readonly reason: ValueOf<typeof PREVIEW_REASON> | QueueRefusal;
  /** Null unless it would be placed. */
  readonly chosen: string | null;
  readonly expectedWaitMs: number;
  /** Requests that wait in the queue, of any tier. */
  readonly waiting: number;
  readonly upstreamCount: number;
  /** Some of the upstreams: those that can be given it, then by cost. */
  readonly upstreams: readonly PreviewedUpstream[];
}

/** What a queue knows of a request that it is asked about. */
export interface PreviewInput extends RefusalForecast {
  readonly nowMs: number;
  readonly states: readonly UpstreamState[];
  /** Those of the states that have room. */
  readonly free: readonly UpstreamState[];
  readonly rateLimiter: UpstreamRateLimiter;
  /** Requests that wait in the queue. */
  readonly waitingCount: number;
  readonly choose: (waiting: WaitingRequest) => UpstreamChoice;
  readonly estimate: (state: UpstreamState) => Candidate;
  readonly heldTokens: HeldTokens;
}

/** Plays the queue's decision on a request, and changes nothing. */
export function previewRequest(input: PreviewInput): QueuePreview {
  const {states, waitingCount, expectedWaitMs} = input;
  const upstreams = states.map(state => previewUpstream(state, input));
  upstreams.sort(
    (a, b) =>
      Number(a.obstacle !== null) - Number(b.obstacle !== null) ||
      a.costMs - b.costMs,
  );
  return {
    ...decide(input),
    expectedWaitMs,
    waiting: waitingCount,
    upstreamCount: upstreams.length,
    upstreams: upstreams.slice(0, MAX_PREVIEWED_UPSTREAMS),
  };
}

type Decision = Pick<QueuePreview, 'outcome' | 'reason' | 'chosen'>;

function decide(input: PreviewInput): Decision {
  const {PLACED, WAITS, REFUSED} = PREVIEW_OUTCOME;
  const {waiting, refusal, choose} = input;
  if (refusal) return {outcome: REFUSED, reason: refusal, chosen: null};
  const first = choose(waiting);
  const isLate = first === 'late';
  const choice = isLate ? choose({...waiting, isLate}) : first;
  if (typeof choice === 'object') {
    const {CHEAPEST, CHEAPEST_LATE} = PREVIEW_REASON;
    const reason = isLate || waiting.isLate ? CHEAPEST_LATE : CHEAPEST;
    const chosen = choice.state.spec.instanceId;
    return {outcome: PLACED, reason, chosen};
  }
  const {BETTER_SOON, NO_ROOM} = PREVIEW_REASON;
  const hasRoom = input.free.some(state => obstacleOf(state, input) === null);
  const reason = hasRoom ? BETTER_SOON : NO_ROOM;
  return {outcome: WAITS, reason, chosen: null};
}

function previewUpstream(
  state: UpstreamState,
  input: PreviewInput,
): PreviewedUpstream {
  const {waiting, nowMs, estimate, heldTokens} = input;
  const {startMs, costMs} = estimate(state);
  const {instanceId, zone} = state.spec;
  return {
    instanceId,
    zone,
    obstacle: obstacleOf(state, input),
    startMs,
    costMs,
    heldTokens: heldTokens(state, waiting.request),
    freeSlots: state.freeSlots(nowMs),
  };
}

/** What keeps a request from an upstream now; null for nothing. */
function obstacleOf(
  state: UpstreamState,
  {waiting: {request}, nowMs, free, rateLimiter}: PreviewInput,
): PreviewObstacle | null {
  const {spec} = state;
  if (!hasRequiredVersion(request, spec)) return PREVIEW_OBSTACLE.OTHER_VERSION;
  if (spec.isLeaving) return PREVIEW_OBSTACLE.LEAVING;
  if (!state.isUsable(nowMs)) return PREVIEW_OBSTACLE.UNHEALTHY;
  if (rateLimiter.isPausedFor(request, spec, nowMs)) {
    return PREVIEW_OBSTACLE.PAUSED;
  }
  if (rateLimiter.waitMs(spec, nowMs) > 0) return PREVIEW_OBSTACLE.LIMITED;
  return free.includes(state) ? null : PREVIEW_OBSTACLE.FULL;
}
