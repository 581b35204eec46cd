import type {BrittleGuard} from '../brittle_guard.js';
import {PLACEMENT_WINDOW} from '../constants.js';
import type {LatencyEstimator} from '../latency_estimator.js';
import {hasRequiredVersion} from '../required_version.js';
import type {HeldTokens, HeldPrompt} from '../prefix/prompt_prefixes.js';
import type {GatedUpstreams} from '../rollout/index.js';
import type {GrantRequest} from '../types.js';
import type {Candidate, UpstreamChoice} from '../upstream_choice.js';
import {UpstreamChooser} from '../upstream_choice.js';
import type {UpstreamRateLimiter} from '../upstream_rate_limiter.js';
import type {UpstreamState} from '../upstream_state.js';
import type {WaitingList} from '../waiting_list.js';
import type {WaitingRequest} from '../waiting_request.js';

/**
 * Requests that one pass finds to be late; bounds its time. Those that follow are
 * found by the next pass.
 */
const MAX_LATE_PER_PASS = 32;

/**
 * Milliseconds after which streams that chose to wait for better room look at all
 * upstreams again.
 */
const RECONSIDER_AFTER_MS = 10;

/** What has changed since the last pass. */
export interface PlacementChange {
  /** A request that was added. */
  readonly request?: WaitingRequest;
  /** An upstream at which a run ended. */
  readonly state?: UpstreamState;
}

/** What the passes of a queue work on. */
export interface PlacementOptions {
  readonly waiting: WaitingList;
  readonly latency: LatencyEstimator;
  readonly rateLimiter: UpstreamRateLimiter;
  readonly brittleGuard: BrittleGuard;
  readonly gated: GatedUpstreams;
  readonly heldTokens: HeldTokens;
  /** Accounts for a grant before it is made. */
  readonly recordGrant: (
    request: GrantRequest,
    state: UpstreamState,
    nowMs: number,
  ) => GrantRecord;
}

/** What accounting for a grant found out. */
export interface GrantRecord extends HeldPrompt {
  /** Whether it tries a software version that is rolled out. */
  readonly isTrial: boolean;
}

/** Places the waiting requests of a queue on upstreams with room. */
export class PlacementPass {
  private readonly chooser: UpstreamChooser;
  /** Time of the last full pass in which a stream passed over free room. */
  private passedOverAtMs = -Infinity;

  constructor(private readonly options: PlacementOptions) {
    const {latency, rateLimiter, heldTokens} = options;
    this.chooser = new UpstreamChooser(latency, rateLimiter, heldTokens);
  }

  /** Takes into account that a run of an upstream has started or ended. */
  recordChange(state: UpstreamState): void {
    this.chooser.recordChange(state);
  }

  /** Forgets all but the given upstreams. */
  retain(states: Iterable<UpstreamState>): void {
    this.chooser.retain(states);
  }

  /**
   * Places what can be placed now, in the order of the waiting list. Soon after a
   * pass in which streams chose to wait for better room, only `change` is
   * looked at.
   */
  run(
    usable: readonly UpstreamState[],
    nowMs: number,
    change: PlacementChange | null,
  ): void {
    const isSoon = nowMs - this.passedOverAtMs < RECONSIDER_AFTER_MS;
    const {request = null, state = null} = (isSoon && change) || {};
    const seen = state === null ? usable : usable.filter(u => u === state);
    let free = seen.filter(candidate => this.hasRoom(candidate, nowMs));
    if (free.length === 0) return;
    this.chooser.startPass(usable);
    for (let late = 0; free.length > 0 && late < MAX_LATE_PER_PASS; late++) {
      const left = this.placeUntilLate(usable, free, request, nowMs);
      if (left === null) break;
      free = left;
      this.chooser.restartPass();
    }
    const isFull = request === null && state === null;
    if (isFull && this.chooser.hasPassedOver) this.passedOverAtMs = nowMs;
  }

  /**
   * Places requests until one turns out to be late, which then queues behind its
   * own tier; returns the upstreams that still have room, null if none was late.
   */
  private placeUntilLate(
    usable: readonly UpstreamState[],
    free: UpstreamState[],
    only: WaitingRequest | null,
    nowMs: number,
  ): UpstreamState[] | null {
    const {waiting, rateLimiter, gated} = this.options;
    let open = free;
    const mayUse = ({request}: WaitingRequest): boolean =>
      free.some(
        state =>
          hasRequiredVersion(request, state.spec) &&
          !rateLimiter.isPausedFor(request, state.spec, nowMs) &&
          gated.mayTake(request, state, nowMs),
      );
    const first =
      only === null
        ? waiting.peek(PLACEMENT_WINDOW, mayUse)
        : [only].filter(mayUse);
    for (const candidate of first) {
      if (open.length === 0) return null;
      const choice = gated.choose(this.chooser, candidate, usable, open, nowMs);
      if (choice === 'late') {
        waiting.markLate(candidate);
        return open;
      }
      if (choice === 'wait') continue;
      waiting.remove(candidate.request.requestId);
      this.grant(candidate, choice, nowMs);
      if (!this.hasRoom(choice.state, nowMs)) {
        open = open.filter(state => state !== choice.state);
      }
    }
    return null;
  }

  /** Where a request would go now; changes nothing. */
  preview(
    asked: WaitingRequest,
    usable: readonly UpstreamState[],
    nowMs: number,
  ): UpstreamChoice {
    const free = usable.filter(state => this.hasRoom(state, nowMs));
    this.chooser.startPass(usable);
    const {gated} = this.options;
    return gated.choose(this.chooser, asked, usable, free, nowMs);
  }

  /** Estimates the cost of a request at an upstream. */
  estimate(request: GrantRequest, state: UpstreamState): Candidate {
    return this.chooser.estimateCost(request, state);
  }

  /** Whether an upstream can take a request now. */
  hasRoom(state: UpstreamState, nowMs: number): boolean {
    const {rateLimiter, brittleGuard} = this.options;
    return (
      state.freeSlots(nowMs) > 0 &&
      rateLimiter.waitMs(state.spec, nowMs) === 0 &&
      brittleGuard.permits(state, nowMs)
    );
  }

  private grant(
    {request, isLate, answer, arrivedAtMs}: WaitingRequest,
    choice: Candidate,
    nowMs: number,
  ): void {
    const {state, startMs, readTokens} = choice;
    const {rateLimiter, latency} = this.options;
    const {requestId, entryId, tier, maxEventGapMs} = request;
    const freeSlots = state.freeSlots(nowMs);
    const isTimed = latency.isTimed(request) && readTokens > 0;
    const unreadTokens = isTimed ? latency.unreadTokens(state, nowMs) : 0;
    const medianReadMs = isTimed
      ? latency.times.readMs(unreadTokens + readTokens)
      : 0;
    const record = this.options.recordGrant(request, state, nowMs);
    rateLimiter.take(state.spec, nowMs);
    state.runs.set(requestId, {
      requestId,
      entryId,
      promptTokens: readTokens,
      tier,
      maxEventGapMs: isLate ? null : maxEventGapMs,
      grantedAtMs: nowMs,
      expectedStartMs: startMs,
      medianReadMs,
      hasStarted: false,
      confirmedAtMs: nowMs,
    });
    this.chooser.recordChange(state);
    answer({
      kind: 'placed',
      placement: {
        upstream: state.spec,
        expectedStartMs: startMs,
        waitedMs: nowMs - arrivedAtMs,
        freeSlots,
        isOnTrial: state.isOnTrial,
        rateLimitPerS: rateLimiter.limitOf(state.spec, nowMs),
        ...record,
      },
    });
  }
}
