import {RUN_TIME_WEIGHT} from '../constants.js';
import type {LatencyEstimator} from '../latency_estimator.js';
import type {HeldTokens} from '../prefix/prompt_prefixes.js';
import type {GrantRequest} from '../types.js';
import type {Candidate, UpstreamChoice} from '../upstream_choice.js';
import type {UpstreamState} from '../upstream_state.js';
import type {WaitingRequest} from '../waiting_request.js';
import {LaterRoom} from './later_room.js';
import type {StreamOption} from './stream_choice.js';
import {chooseForStream, isSurelyInTime} from './stream_choice.js';
import type {
  StreamDemand,
  StreamForecast,
  UpstreamOutlook,
} from './stream_outlook.js';
import {forecastStream, startMsOf} from './stream_outlook.js';
import {outlookOf} from './upstream_outlook.js';

/** Milliseconds for which what was read off an unchanged upstream holds. */
const OUTLOOK_TTL_MS = 15;

/** Milliseconds for which the speeds of all upstreams hold. */
const LATER_ROOM_TTL_MS = 50;

/**
 * Streams of one tier that choose to wait in one pass, after which those behind
 * them are not looked at; bounds its time.
 */
const MAX_WAITS_PER_TIER = 4;

interface TimedOutlook {
  readonly outlook: UpstreamOutlook;
  readonly readAtMs: number;
}

/** Places streams by when their events come, and by whom they hold up. */
export class StreamPlacer {
  private readonly outlooks = new Map<UpstreamState, TimedOutlook>();
  private usable: readonly UpstreamState[] = [];
  private laterRoom: LaterRoom | null = null;
  private laterRoomAtMs = -Infinity;
  /** Streams of this pass that wait for better room. */
  private waitingAhead = 0;
  private readonly waitsByTier = new Map<number, number>();

  constructor(
    private readonly latency: LatencyEstimator,
    private readonly heldTokens: HeldTokens,
    private readonly penaltyMs: (
      request: GrantRequest,
      state: UpstreamState,
    ) => number,
  ) {}

  /** Starts a pass over the waiting requests. */
  startPass(usable: readonly UpstreamState[]): void {
    this.usable = usable;
    this.restart();
  }

  /** Starts again with the first waiting request, in the same pass. */
  restart(): void {
    this.waitingAhead = 0;
    this.waitsByTier.clear();
  }

  /** Whether a stream waits for better room than there is. */
  get hasPassedOver(): boolean {
    return this.waitingAhead > 0;
  }

  /** Drops what was read off an upstream that has changed. */
  forget(state: UpstreamState): void {
    this.outlooks.delete(state);
  }

  /** Keeps only what was read off the given upstreams. */
  retain(states: ReadonlySet<UpstreamState>): void {
    for (const state of this.outlooks.keys()) {
      if (!states.has(state)) this.outlooks.delete(state);
    }
  }

  /** Chooses among the upstreams that have room for a stream. */
  choose(
    waiting: WaitingRequest,
    candidates: readonly UpstreamState[],
    nowMs: number,
  ): UpstreamChoice {
    const {request, isLate} = waiting;
    const {tier, promptTokens, maxEventGapMs} = request;
    const waits = this.waitsByTier.get(tier) ?? 0;
    if (waits >= MAX_WAITS_PER_TIER) return 'wait';
    const demand: StreamDemand = {
      tier,
      promptTokens,
      leftMs: Math.max(0, waiting.objectiveAtMs - nowMs),
      maxEventGapMs: maxEventGapMs ?? Infinity,
    };
    if (!isLate) {
      const cheapest = this.findCheapest(request, candidates, nowMs);
      if (cheapest && isSurelyInTime(this.forecast(demand, cheapest, nowMs))) {
        return cheapest;
      }
    }
    const patienceLeftMs = waiting.arrivedAtMs + request.patienceLeftMs - nowMs;
    const options: StreamOption<Candidate>[] = [];
    for (const state of candidates) {
      const target = this.costOf(request, state, nowMs);
      if (target.startMs > patienceLeftMs) continue;
      const forecast = this.forecast(demand, target, nowMs);
      options.push({target, forecast, costMs: target.costMs});
    }
    const laterChance = isLate
      ? 0
      : this.laterAt(nowMs).chanceOf(demand, this.waitingAhead);
    const leftToPlaceMs = waiting.placementDeadlineMs - nowMs;
    const choice = chooseForStream(options, {
      isLate,
      laterChance,
      leftToPlaceMs,
    });
    if (choice === 'wait') {
      this.waitingAhead++;
      this.waitsByTier.set(tier, waits + 1);
    }
    return typeof choice === 'string' ? choice : choice.target;
  }

  private forecast(
    demand: StreamDemand,
    {state, readTokens}: Candidate,
    nowMs: number,
  ): StreamForecast {
    return forecastStream(
      {...demand, promptTokens: readTokens},
      this.outlookAt(state, nowMs),
      this.latency.times,
    );
  }

  private findCheapest(
    request: GrantRequest,
    candidates: readonly UpstreamState[],
    nowMs: number,
  ): Candidate | null {
    let cheapest: Candidate | null = null;
    for (const state of candidates) {
      const candidate = this.costOf(request, state, nowMs);
      if (!cheapest || candidate.costMs < cheapest.costMs) cheapest = candidate;
    }
    return cheapest;
  }

  private costOf(
    request: GrantRequest,
    state: UpstreamState,
    nowMs: number,
  ): Candidate {
    const outlook = this.outlookAt(state, nowMs);
    const held = this.heldTokens(state, request);
    const readTokens = Math.max(0, request.promptTokens - held);
    const startMs = startMsOf(readTokens, outlook, this.latency.times);
    const costMs =
      startMs +
      RUN_TIME_WEIGHT * outlook.runMs +
      this.penaltyMs(request, state);
    return {state, startMs, readTokens, costMs};
  }

  private laterAt(nowMs: number): LaterRoom {
    const isOld = nowMs - this.laterRoomAtMs > LATER_ROOM_TTL_MS;
    if (this.laterRoom && !isOld) return this.laterRoom;
    this.laterRoomAtMs = nowMs;
    return (this.laterRoom = new LaterRoom(this.usable, this.latency));
  }

  private outlookAt(state: UpstreamState, nowMs: number): UpstreamOutlook {
    const known = this.outlooks.get(state);
    if (known && nowMs - known.readAtMs < OUTLOOK_TTL_MS) return known.outlook;
    const outlook = outlookOf(state, this.latency, nowMs);
    this.outlooks.set(state, {outlook, readAtMs: nowMs});
    return outlook;
  }
}
