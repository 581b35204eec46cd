import type {ReportedLoad} from '../types.js';

/** Least weight of a sample in the lasting speed, if all of it was work. */
const SAMPLE_WEIGHT = 0.05;

/** Weight of a sample after others that show a change of speed. */
const CHANGE_WEIGHT = 0.3;

/** Ratio to the lasting speed from which a sample may show a change of it. */
const CHANGE_RATIO = 1.6;

/** Milliseconds of work that explain half of a sample, beside delays on the way. */
const HALF_WEIGHT_MS = 20;

/** Smallest and largest ratio that one sample may state. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 20;

/** Smallest and largest momentary slowdown that is believed. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 8;

/** Milliseconds in which a told slowdown loses most of its meaning. */
const SLOWDOWN_DECAY_MS = 300;

/**
 * Speed of one upstream as learnt from streams: how long work takes there in the
 * long run, and how much longer at this moment.
 */
export class UpstreamSpeed {
  /**
   * Moving average of the times of work there, relative to those predicted for the
   * service; null before the first one.
   */
  lastingRatio: number | null = null;
  /** Slowdown that it told last, where 1 is as usual. */
  toldSlowdown = 1;
  private toldAtMs = -Infinity;
  private sampleWeight = 0;
  /** Side of the lasting speed on which the last sample was far off; 0 if near. */
  private lastSide = 0;

  /** Adds work that took `ms`, and was predicted to take `usualMs`. */
  record(ms: number, usualMs: number): void {
    const sample = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ms / usualMs));
    const relevance = usualMs / (usualMs + HALF_WEIGHT_MS);
    this.sampleWeight += relevance;
    const before = this.lastingRatio ?? 1;
    const isTelling = usualMs >= HALF_WEIGHT_MS;
    const least =
      isTelling && this.showsChange(sample / before)
        ? CHANGE_WEIGHT
        : SAMPLE_WEIGHT;
    const weight = relevance * Math.max(least, 1 / (this.sampleWeight + 1));
    this.lastingRatio = before * (sample / before) ** weight;
  }

  /** Whether two samples in a row are far off on the same side. */
  private showsChange(ratio: number): boolean {
    const isFar = ratio > CHANGE_RATIO || ratio < 1 / CHANGE_RATIO;
    const side = isFar ? Math.sign(ratio - 1) : 0;
    const isRepeated = side !== 0 && side === this.lastSide;
    this.lastSide = side;
    return isRepeated;
  }

  /** Records the momentary slowdown of a load; returns it if one was told. */
  recordLoad(load: ReportedLoad | null, nowMs: number): number | null {
    if (load === null || load.slowdown === null) return null;
    const {slowdown} = load;
    this.toldSlowdown = Math.min(
      MAX_SLOWDOWN,
      Math.max(MIN_SLOWDOWN, slowdown),
    );
    this.toldAtMs = nowMs;
    return this.toldSlowdown;
  }

  /** Share from 0 to 1 to which the told slowdown still holds. */
  slowdownTrust(nowMs: number): number {
    return Math.exp((this.toldAtMs - nowMs) / SLOWDOWN_DECAY_MS);
  }

  /** Expected momentary slowdown: the told one, less as it ages. */
  slowdownAt(nowMs: number): number {
    if (this.toldSlowdown === 1) return 1;
    return 1 + (this.toldSlowdown - 1) * this.slowdownTrust(nowMs);
  }
}
