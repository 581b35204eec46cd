import type {LatencyEstimator} from '../latency_estimator.js';
import type {UpstreamState} from '../upstream_state.js';
import type {StreamDemand} from './stream_outlook.js';
import {SAFE_RATIO} from './stream_outlook.js';

/** Predicts from the speeds of all upstreams what room a stream finds later. */
export class LaterRoom {
  /** Upstreams from the fastest on, with the rate at which they free slots. */
  private readonly factors: number[] = [];
  /** Slots per millisecond of each upstream and all faster ones. */
  private readonly ratesPerMs: number[] = [];

  constructor(
    states: readonly UpstreamState[],
    private readonly latency: LatencyEstimator,
  ) {
    const speeds = states.map(state => ({
      factor: latency.slowdownOf(state),
      perMs: state.spec.slots / latency.predictRunMs(state),
    }));
    speeds.sort((a, b) => a.factor - b.factor);
    let ratePerMs = 0;
    for (const {factor, perMs} of speeds) {
      ratePerMs += perMs;
      this.factors.push(factor);
      this.ratesPerMs.push(ratePerMs);
    }
  }

  /**
   * Probability that a stream is in time if it waits for room at an upstream that
   * is fast enough, behind `ahead` others.
   */
  chanceOf({promptTokens, leftMs}: StreamDemand, ahead: number): number {
    const {baseMs, readMs, slowdownShareAbove} = this.latency.times;
    const leftToReadMs = leftMs / SAFE_RATIO - baseMs();
    const usualMs = readMs(promptTokens);
    const count = this.countUpTo(leftToReadMs / usualMs);
    if (count === 0) return 0;
    const waitMs = (ahead + 1) / this.ratesPerMs[count - 1]!;
    const middleMs = this.factors[Math.floor(count / 2)]! * usualMs;
    return 1 - slowdownShareAbove((leftToReadMs - waitMs) / middleMs);
  }

  /** Number of upstreams up to a factor. */
  private countUpTo(factor: number): number {
    let low = 0;
    let high = this.factors.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.factors[middle]! <= factor) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
