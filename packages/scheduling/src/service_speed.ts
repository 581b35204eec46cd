import {INITIAL_RUN_MS, LEARNING_RATE} from './constants.js';
import {StartModel} from './start_model.js';
import type {UpstreamState} from './upstream_state.js';

/** Least pace that is believed, so that no prediction becomes zero. */
const MIN_PACE = 0.05;

/** What is learned of a service's speed over all its upstreams. */
export class ServiceSpeed {
  private readonly starts = new StartModel();
  private meanRunMs = INITIAL_RUN_MS;
  /** Speed of an ordinary upstream, in the unit of its states. */
  private ordinaryUnitMs: number | null = null;

  /** Learns from the time in milliseconds to the first byte of a request. */
  observeStart(
    state: UpstreamState,
    promptTokens: number,
    startMs: number,
  ): void {
    this.starts.observe(promptTokens, startMs / this.paceOf(state));
  }

  /** Learns from a whole run in milliseconds. */
  observeRun(states: Iterable<UpstreamState>, runMs: number): void {
    this.meanRunMs += LEARNING_RATE * (runMs - this.meanRunMs);
    const units: number[] = [];
    for (const {unitMs} of states) {
      if (unitMs !== null) units.push(unitMs);
    }
    units.sort((a, b) => a - b);
    this.ordinaryUnitMs = units[Math.floor(units.length / 2)] ?? null;
  }

  /** How much slower than an ordinary upstream; 1 while nothing is known. */
  paceOf({unitMs}: UpstreamState): number {
    if (unitMs === null || this.ordinaryUnitMs === null) return 1;
    return Math.max(MIN_PACE, unitMs / this.ordinaryUnitMs);
  }

  /** Milliseconds that a run takes on an upstream, on average. */
  runMs(state: UpstreamState): number {
    return this.meanRunMs * this.paceOf(state);
  }

  /** Milliseconds to the first byte, behind what was sent there before. */
  startMs(state: UpstreamState, promptTokens: number): number {
    const pending = this.starts.prefillMs(state.pendingPromptTokens());
    return this.paceOf(state) * (pending + this.starts.predictMs(promptTokens));
  }

  /** Milliseconds to the first byte on the fastest upstream, when idle. */
  leastStartMs(states: Iterable<UpstreamState>, promptTokens: number): number {
    let pace = Infinity;
    for (const state of states) pace = Math.min(pace, this.paceOf(state));
    return pace === Infinity ? 0 : pace * this.starts.predictMs(promptTokens);
  }

  /** Places per millisecond that ended runs make. */
  placesPerMs(states: Iterable<UpstreamState>): number {
    let rate = 0;
    for (const state of states) rate += state.spec.slots / this.runMs(state);
    return rate;
  }
}
