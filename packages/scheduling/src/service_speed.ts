import {INITIAL_RUN_MS, TIME_SMOOTHING_FACTOR} from './constants.js';
import {StartTimeModel} from './start_model.js';
import type {UpstreamState} from './upstream_state.js';

/** Least pace that is believed, so that no prediction becomes zero. */
const MIN_PACE = 0.05;

/** What is learned of a service's speed over all its upstreams. */
export class LatencyEstimator {
  private readonly starts = new StartTimeModel();
  private meanRunMs = INITIAL_RUN_MS;
  /** Speed of an ordinary upstream, in the unit of its states. */
  private ordinaryUnitMs: number | null = null;

  /** Learns from the time in milliseconds to the first byte of a request. */
  observeStart(
    state: UpstreamState,
    promptTokens: number,
    firstByteMs: number,
  ): void {
    this.starts.observe(promptTokens, firstByteMs / this.slowdownOf(state));
  }

  /** Learns from a whole run in milliseconds. */
  observeRun(states: Iterable<UpstreamState>, sampleMs: number): void {
    this.meanRunMs += TIME_SMOOTHING_FACTOR * (sampleMs - this.meanRunMs);
    const units: number[] = [];
    for (const {serviceTimeMs: unitMs} of states) {
      if (unitMs !== null) units.push(unitMs);
    }
    units.sort((a, b) => a - b);
    this.ordinaryUnitMs = units[Math.floor(units.length / 2)] ?? null;
  }

  /** How much slower than an ordinary upstream; 1 while nothing is known. */
  slowdownOf({serviceTimeMs: unitMs}: UpstreamState): number {
    if (unitMs === null || this.ordinaryUnitMs === null) return 1;
    return Math.max(MIN_PACE, unitMs / this.ordinaryUnitMs);
  }

  /** Milliseconds that a run takes on an upstream, on average. */
  predictRunMs(state: UpstreamState): number {
    return this.meanRunMs * this.slowdownOf(state);
  }

  /** Milliseconds to the first byte, behind what was sent there before. */
  predictStartMs(state: UpstreamState, tokens: number): number {
    const pending = this.starts.prefillMs(state.pendingPromptTokens());
    return this.slowdownOf(state) * (pending + this.starts.predictMs(tokens));
  }

  /** Milliseconds to the first byte on the fastest upstream, when idle. */
  minStartMs(states: Iterable<UpstreamState>, promptTokens: number): number {
    let pace = Infinity;
    for (const state of states) pace = Math.min(pace, this.slowdownOf(state));
    return pace === Infinity ? 0 : pace * this.starts.predictMs(promptTokens);
  }

  /** Places per millisecond that ended runs make. */
  slotsFreedPerMs(states: Iterable<UpstreamState>): number {
    let rate = 0;
    for (const state of states)
      rate += state.spec.slots / this.predictRunMs(state);
    return rate;
  }
}
