import {
  INITIAL_START_MS,
  INITIAL_START_MS_PER_TOKEN,
  INITIAL_WEIGHT,
  SAMPLE_DECAY,
} from './constants.js';

/** Prompt lengths of the initial expectations, in tokens. */
const INITIAL_PROMPTS = [0, 4_000] as const;

/**
 * Predicts the time to the first byte from the prompt's length: a line through
 * the samples, the old ones fading, for an upstream of ordinary pace.
 */
export class StartTimeModel {
  private weight = 0;
  private sumX = 0;
  private sumY = 0;
  private sumXx = 0;
  private sumXy = 0;

  constructor() {
    for (const tokens of INITIAL_PROMPTS) {
      const ms = INITIAL_START_MS + tokens * INITIAL_START_MS_PER_TOKEN;
      this.add(tokens, ms, INITIAL_WEIGHT);
    }
  }

  /** Learns from one start; the time in milliseconds is at ordinary pace. */
  observe(promptTokens: number, startMs: number): void {
    this.weight *= SAMPLE_DECAY;
    this.sumX *= SAMPLE_DECAY;
    this.sumY *= SAMPLE_DECAY;
    this.sumXx *= SAMPLE_DECAY;
    this.sumXy *= SAMPLE_DECAY;
    this.add(promptTokens, startMs, 1);
  }

  /** Milliseconds to the first byte at ordinary pace, without other work. */
  predictMs(promptTokens: number): number {
    const slope = Math.max(0, this.slope());
    const base = (this.sumY - slope * this.sumX) / this.weight;
    return Math.max(1, base) + slope * promptTokens;
  }

  /** Milliseconds that the prompt's tokens take at ordinary pace. */
  prefillMs(promptTokens: number): number {
    return Math.max(0, this.slope()) * promptTokens;
  }

  private add(x: number, y: number, weight: number): void {
    this.weight += weight;
    this.sumX += weight * x;
    this.sumY += weight * y;
    this.sumXx += weight * x * x;
    this.sumXy += weight * x * y;
  }

  private slope(): number {
    const variance = this.sumXx - (this.sumX * this.sumX) / this.weight;
    if (variance < 1) return 0;
    const covariance = this.sumXy - (this.sumX * this.sumY) / this.weight;
    return covariance / variance;
  }
}
