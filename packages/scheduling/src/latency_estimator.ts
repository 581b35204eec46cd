import {INITIAL_RUN_MS, TIME_SMOOTHING_FACTOR} from './constants.js';
import {StartTimeModel} from './start_time_model.js';
import type {UpstreamState} from './upstream_state.js';

/** Smallest slowdown factor, so that no prediction becomes zero. */
const MIN_SLOWDOWN = 0.05;

/** Predicts the start and run times of a service from samples of its upstreams. */
export class LatencyEstimator {
  private readonly model = new StartTimeModel();
  private meanRunMs = INITIAL_RUN_MS;
  /** Median service time of the upstreams; null before the first sample. */
  private medianServiceTimeMs: number | null = null;

  /** Adds a sample of the time in milliseconds to the first byte. */
  observeStart(
    state: UpstreamState,
    promptTokens: number,
    firstByteMs: number,
  ): void {
    this.model.observe(promptTokens, firstByteMs / this.slowdownOf(state));
  }

  /** Adds a sample of a whole run in milliseconds and updates the median. */
  observeRun(states: Iterable<UpstreamState>, sampleMs: number): void {
    this.meanRunMs += TIME_SMOOTHING_FACTOR * (sampleMs - this.meanRunMs);
    const samples: number[] = [];
    for (const {serviceTimeMs} of states) {
      if (serviceTimeMs !== null) samples.push(serviceTimeMs);
    }
    samples.sort((a, b) => a - b);
    this.medianServiceTimeMs = samples[Math.floor(samples.length / 2)] ?? null;
  }

  /** Ratio of an upstream's service time to the median; 1 without either. */
  slowdownOf({serviceTimeMs}: UpstreamState): number {
    // All events of short streams may arrive at once, with no gap between them.
    if (serviceTimeMs === null || !this.medianServiceTimeMs) return 1;
    return Math.max(MIN_SLOWDOWN, serviceTimeMs / this.medianServiceTimeMs);
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
    const wait = this.model.prefillMs(state.pendingPromptTokens());
    return this.slowdownOf(state) * (wait + this.model.predictMs(promptTokens));
  }

  /**
   * Expected milliseconds to the first byte on the fastest upstream if it were
   * idle; 0 without upstreams.
   */
  minStartMs(states: Iterable<UpstreamState>, promptTokens: number): number {
    let min = Infinity;
    for (const state of states) min = Math.min(min, this.slowdownOf(state));
    return min === Infinity ? 0 : min * this.model.predictMs(promptTokens);
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
