import {
  AVOIDED_ZONE_COST_MS,
  CROSS_ZONE_COST_MS,
  FAILURE_COST_MS,
  RUN_TIME_WEIGHT,
} from './constants.js';
import type {LatencyEstimator} from './latency_estimator.js';
import type {HeldTokens} from './prefix/prompt_prefixes.js';
import {StreamPlacer} from './placing/stream_placer.js';
import {hasRequiredVersion} from './required_version.js';
import type {GrantRequest} from './types.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import type {UpstreamState} from './upstream_state.js';
import type {WaitingRequest} from './waiting_request.js';

/** An upstream and the estimated cost of running a request there. */
export interface Candidate {
  readonly state: UpstreamState;
  readonly startMs: number;
  /** Prompt tokens that it has to read. */
  readonly readTokens: number;
  /** Start time, weighted run time and penalties. */
  readonly costMs: number;
}

/**
 * Where to place a request now; `wait` if a better upstream will have room in
 * time, `late` if none can meet the objective any more.
 */
export type UpstreamChoice = Candidate | 'wait' | 'late';

/** The states that a request can use; not copied if it can use them all. */
function withRequiredVersion(
  request: GrantRequest,
  states: readonly UpstreamState[],
): readonly UpstreamState[] {
  if (request.requiredVersion === null) return states;
  return states.filter(({spec}) => hasRequiredVersion(request, spec));
}

/** Chooses upstreams for waiting requests by their estimated cost. */
export class UpstreamChooser {
  /** Places streams whose route bounds the time between two events. */
  private readonly streams: StreamPlacer;

  constructor(
    private readonly latency: LatencyEstimator,
    private readonly rateLimiter: UpstreamRateLimiter,
    private readonly heldTokens: HeldTokens,
  ) {
    this.streams = new StreamPlacer(latency, heldTokens, penaltyMs);
  }

  /** Starts a pass over the waiting requests, with the upstreams in use. */
  startPass(usableStates: readonly UpstreamState[]): void {
    this.streams.startPass(usableStates);
  }

  /** Starts again with the first waiting request, in the same pass. */
  restartPass(): void {
    this.streams.restart();
  }

  /** Whether a stream of this pass waits for better room than there is. */
  get hasPassedOver(): boolean {
    return this.streams.hasPassedOver;
  }

  /** Takes into account that the runs of an upstream have changed. */
  recordChange(state: UpstreamState): void {
    this.streams.forget(state);
  }

  /** Forgets all but the given upstreams. */
  retain(states: Iterable<UpstreamState>): void {
    this.streams.retain(new Set(states));
  }

  /**
   * Chooses the cheapest of the upstreams with room. A request waits for a busy
   * upstream that would meet the objective when no free one does, and for an
   * upstream that has not failed it.
   */
  choose(
    waiting: WaitingRequest,
    usableStates: readonly UpstreamState[],
    freeStates: readonly UpstreamState[],
    nowMs: number,
  ): UpstreamChoice {
    const {request} = waiting;
    const usable = withRequiredVersion(request, usableStates);
    const free = withRequiredVersion(request, freeStates).filter(
      ({spec}) => !this.rateLimiter.isPausedFor(request, spec, nowMs),
    );
    const leftToPlaceMs = waiting.placementDeadlineMs - nowMs;
    const isReachable = ({spec}: UpstreamState): boolean => {
      const waitMs = this.rateLimiter.waitMsFor(request, spec, nowMs);
      return waitMs === 0 || waitMs <= leftToPlaceMs;
    };
    const isSafe = (state: UpstreamState): boolean =>
      state.acceptsNonRepeatable(nowMs);
    const needsSafeTarget =
      !request.isRepeatable &&
      usable.some(state => isSafe(state) && isReachable(state));
    const eligible = needsSafeTarget ? free.filter(isSafe) : free;
    const isNew = (state: UpstreamState): boolean =>
      !request.excluded.includes(state.spec.instanceId);
    const notExcluded = eligible.filter(isNew);
    // A retry goes to the same upstream only if the service has no other.
    const hasAlternative = (): boolean =>
      usable.some(state => isNew(state) && isReachable(state));
    if (notExcluded.length === 0 && hasAlternative()) return 'wait';
    const candidates = notExcluded.length > 0 ? notExcluded : eligible;
    if (this.latency.isTimed(request)) {
      return this.streams.choose(waiting, candidates, nowMs);
    }
    const best = this.findCheapest(request, candidates);
    if (!best) return 'wait';
    if (waiting.isLate) return best;
    const leftMs = waiting.objectiveAtMs - nowMs;
    if (best.startMs <= leftMs) return best;
    return this.canMeetLater(request, usable, leftMs, nowMs) ? 'wait' : 'late';
  }

  private findCheapest(
    request: GrantRequest,
    states: readonly UpstreamState[],
  ): Candidate | null {
    let best: Candidate | null = null;
    for (const state of states) {
      const candidate = this.estimateCost(request, state);
      if (!best || candidate.costMs < best.costMs) best = candidate;
    }
    return best;
  }

  /** Estimates the cost of a request at an upstream in milliseconds. */
  estimateCost(request: GrantRequest, state: UpstreamState): Candidate {
    const held = this.heldTokens(state, request);
    const readTokens = Math.max(0, request.promptTokens - held);
    const startMs = this.latency.predictStartMs(state, readTokens);
    const costMs =
      startMs +
      RUN_TIME_WEIGHT * this.latency.predictRunMs(state) +
      penaltyMs(request, state);
    return {state, startMs, readTokens, costMs};
  }

  /** Whether waiting for room at a busy upstream would meet the objective. */
  private canMeetLater(
    request: GrantRequest,
    usable: readonly UpstreamState[],
    leftMs: number,
    nowMs: number,
  ): boolean {
    return usable.some(state => {
      const slots = Math.max(1, state.spec.slots);
      const roomWaitMs = Math.max(
        this.latency.predictRunMs(state) / slots,
        this.rateLimiter.waitMsFor(request, state.spec, nowMs),
      );
      return roomWaitMs + this.estimateCost(request, state).startMs <= leftMs;
    });
  }
}

/** Cost in milliseconds of an upstream's failures and of its zone. */
function penaltyMs(request: GrantRequest, state: UpstreamState): number {
  const {zone} = state.spec;
  const crossZoneMs = zone === request.zone ? 0 : CROSS_ZONE_COST_MS;
  const isAvoided = request.avoidedZones.includes(zone);
  const zoneMs = isAvoided ? AVOIDED_ZONE_COST_MS : crossZoneMs;
  return FAILURE_COST_MS * state.failureRate + zoneMs;
}
