import {INITIAL_RUN_MS, TIME_SMOOTHING_FACTOR} from './constants.js';
import {SlowdownShares} from './estimates/slowdown_shares.js';
import type {ServiceTimes} from './placing/stream_outlook.js';
import {StartTimeModel} from './start_time_model.js';
import type {EndReport, GrantRequest, StartReport} from './types.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

/** Smallest slowdown factor, so that no prediction becomes zero. */
const MIN_SLOWDOWN = 0.05;

/** Expected milliseconds between two events before there are samples. */
const INITIAL_EVENT_GAP_MS = 25;

/**
 * Weights of a shorter and a longer gap: the estimate stays near the shortest gaps,
 * as prompts that are read beside a stream lengthen most of them.
 */
const SHORTER_GAP_WEIGHT = 0.2;
const LONGER_GAP_WEIGHT = 0.02;

/** Upstreams for which the medians wait for one more end of a run. */
const UPSTREAMS_PER_END = 64;

/** Multiple of a start that its share of the median upstream's may be. */
const MAX_GROWTH = 2;

/** Predicts the start and run times of a service from samples of its upstreams. */
export class LatencyEstimator {
  private readonly model = new StartTimeModel();
  private readonly slowdowns = new SlowdownShares();
  private meanRunMs = INITIAL_RUN_MS;
  /** Between two events while no prompt is read, and in the mean. */
  private eventGapMs = INITIAL_EVENT_GAP_MS;
  private meanEventGapMs = INITIAL_EVENT_GAP_MS;
  /** Median service time of the upstreams; null before the first sample. */
  private medianServiceTimeMs: number | null = null;
  /** Median lasting ratio of the upstreams; null before the first stream with a bound. */
  private medianRatio: number | null = null;
  /** Ends of runs that are left until the medians are computed anew. */
  private endsUntilMedians = 0;

  /** Whether upstreams of the service tell how long work takes there now. */
  private hasSlowdowns = false;

  /** Whether a request's stream is placed by when its events come. */
  isTimed({maxEventGapMs, promptTokens}: GrantRequest): boolean {
    return this.hasSlowdowns && maxEventGapMs !== null && promptTokens > 0;
  }

  /** Times of the median upstream of the service. */
  readonly times: ServiceTimes = {
    baseMs: () => this.model.predictMs(0),
    readMs: promptTokens => this.model.prefillMs(promptTokens),
    slowdownShareAbove: limit => this.slowdowns.shareAbove(limit),
    eventGapMs: () => this.eventGapMs,
  };

  /**
   * Adds a sample of the time to the first byte, in which the upstream read
   * `readTokens`, and the load told with it.
   */
  observeStart(
    state: UpstreamState,
    run: ActiveRun,
    {startMs, load, readTokens}: StartReport & {readTokens: number},
    nowMs: number,
  ): void {
    const {speed} = state;
    const told = speed.recordLoad(load, nowMs);
    if (told !== null) {
      this.hasSlowdowns = true;
      this.slowdowns.observe(told);
    }
    if (run.medianReadMs === 0) {
      this.model.observe(readTokens, startMs / this.slowdownOf(state));
      return;
    }
    const baseMs = this.model.predictMs(0);
    const slowdown = Math.max(1, speed.slowdownAt(nowMs));
    const workMs = Math.max(0, startMs - baseMs) / slowdown;
    const aheadMs = run.medianReadMs - this.model.prefillMs(run.promptTokens);
    speed.record(workMs, aheadMs + this.model.prefillMs(readTokens));
    const ownMs = Math.max(0, workMs / this.slowdownOf(state) - aheadMs);
    // A prediction fed back through a small ratio must not grow without end.
    const maxMs = MAX_GROWTH * startMs;
    const sampleMs = Math.min(baseMs, startMs) + ownMs;
    this.model.observe(readTokens, Math.min(maxMs, Math.max(1, sampleMs)));
  }

  /** Adds a sample of a whole run and updates the medians. */
  observeRun(
    states: Iterable<UpstreamState>,
    state: UpstreamState,
    {runMs, eventGapMs}: EndReport,
    {medianReadMs}: Pick<ActiveRun, 'medianReadMs'>,
  ): void {
    const isTimed = medianReadMs > 0;
    if (isTimed && eventGapMs !== null && eventGapMs > 0) {
      state.speed.record(eventGapMs, this.meanEventGapMs);
      const sampleMs = eventGapMs / this.slowdownOf(state);
      this.meanEventGapMs +=
        LONGER_GAP_WEIGHT * (sampleMs - this.meanEventGapMs);
      const isShorter = sampleMs < this.eventGapMs;
      const weight = isShorter ? SHORTER_GAP_WEIGHT : LONGER_GAP_WEIGHT;
      this.eventGapMs += weight * (sampleMs - this.eventGapMs);
    }
    const ratio = this.ratioOf(state) ?? 1;
    this.meanRunMs += TIME_SMOOTHING_FACTOR * (runMs / ratio - this.meanRunMs);
    if (this.endsUntilMedians-- > 0) return;
    const serviceTimes: number[] = [];
    const ratios: number[] = [];
    for (const {serviceTimeMs, speed} of states) {
      if (serviceTimeMs !== null) serviceTimes.push(serviceTimeMs);
      if (speed.lastingRatio !== null) ratios.push(speed.lastingRatio);
    }
    const knownCount = Math.max(serviceTimes.length, ratios.length);
    this.endsUntilMedians = Math.floor(knownCount / UPSTREAMS_PER_END);
    this.medianServiceTimeMs = medianOf(serviceTimes);
    this.medianRatio = medianOf(ratios);
  }

  /**
   * Ratio of an upstream's times to the median: by the prompts that it has read or,
   * without any, by its service time; 1 if nothing is known of it.
   */
  slowdownOf(state: UpstreamState): number {
    const ratio = this.ratioOf(state);
    if (ratio !== null) return Math.max(MIN_SLOWDOWN, ratio);
    const {serviceTimeMs} = state;
    // All events of short streams may arrive at once, with no gap between them.
    if (serviceTimeMs === null || !this.medianServiceTimeMs) return 1;
    return Math.max(MIN_SLOWDOWN, serviceTimeMs / this.medianServiceTimeMs);
  }

  private ratioOf({speed}: UpstreamState): number | null {
    const {lastingRatio} = speed;
    return lastingRatio === null
      ? null
      : lastingRatio / (this.medianRatio ?? 1);
  }

  /** Expected milliseconds of a run on an upstream. */
  predictRunMs(state: UpstreamState): number {
    return this.meanRunMs * this.slowdownOf(state);
  }

  /** Expected milliseconds that reading prompt tokens takes on an upstream. */
  prefillMs(state: UpstreamState, promptTokens: number): number {
    return this.slowdownOf(state) * this.model.prefillMs(promptTokens);
  }

  /** Expected milliseconds to the first byte, after the prompts already sent. */
  predictStartMs(state: UpstreamState, promptTokens: number): number {
    const waitMs = this.model.prefillMs(state.pendingPromptTokens());
    const ownMs = this.model.predictMs(promptTokens);
    return this.slowdownOf(state) * (waitMs + ownMs);
  }

  /**
   * Prompt tokens that an upstream has yet to read: those of the runs that have
   * not started, less what it has read since the first of them had its turn.
   */
  unreadTokens(
    state: UpstreamState,
    nowMs: number,
    factor = this.slowdownOf(state),
  ): number {
    let tokens = 0;
    let first: ActiveRun | null = null;
    for (const run of state.runs.values()) {
      if (run.hasStarted) continue;
      first ??= run;
      tokens += run.promptTokens;
    }
    if (first === null) return 0;
    const sinceMs = nowMs - Math.max(first.grantedAtMs, state.lastStartAtMs);
    const prefillMs = factor * this.model.prefillMs(first.promptTokens);
    const readShare = prefillMs === 0 ? 0 : Math.min(1, sinceMs / prefillMs);
    return tokens - readShare * first.promptTokens;
  }

  /**
   * Expected milliseconds to the first byte on the fastest upstream if it were
   * idle; 0 without upstreams.
   */
  minStartMs(states: Iterable<UpstreamState>, promptTokens: number): number {
    let min = Infinity;
    for (const state of states) min = Math.min(min, this.slowdownOf(state));
    if (min === Infinity) return 0;
    // Only the reading of a prompt is known to go by an upstream's own speed.
    if (this.medianRatio === null)
      return min * this.model.predictMs(promptTokens);
    return this.model.predictMs(0) + min * this.model.prefillMs(promptTokens);
  }

  /**
   * Requests that can be placed per millisecond when all slots are used: those
   * that ending runs make room for, but at most `maxPerMs` at each upstream.
   */
  placementsPerMs(
    states: Iterable<UpstreamState>,
    maxPerMs: (state: UpstreamState) => number,
  ): number {
    let rate = 0;
    for (const state of states) {
      const slotsPerMs = state.spec.slots / this.predictRunMs(state);
      rate += Math.min(slotsPerMs, maxPerMs(state));
    }
    return rate;
  }
}

function medianOf(samples: number[]): number | null {
  samples.sort((a, b) => a - b);
  return samples[Math.floor((samples.length - 1) / 2)] ?? null;
}
