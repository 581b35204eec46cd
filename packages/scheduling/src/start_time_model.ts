import {
  INITIAL_START_MS,
  INITIAL_START_MS_PER_TOKEN,
  INITIAL_WEIGHT,
  SAMPLE_DECAY,
} from './constants.js';

/** Prompt lengths in tokens of the two points that define the initial line. */
const INITIAL_PROMPT_TOKENS = [0, 4_000] as const;

/**
 * Predicts the time to the first byte from the prompt length for an upstream of
 * median speed: a least-squares line through samples that decay with age.
 */
export class StartTimeModel {
  private weight = 0;
  private sumX = 0;
  private sumY = 0;
  private sumXx = 0;
  private sumXy = 0;

  constructor() {
    for (const tokens of INITIAL_PROMPT_TOKENS) {
      const ms = INITIAL_START_MS + tokens * INITIAL_START_MS_PER_TOKEN;
      this.add(tokens, ms, INITIAL_WEIGHT);
    }
  }

  /** Adds a start time in milliseconds, normalized to median speed. */
  observe(promptTokens: number, startMs: number): void {
    this.weight *= SAMPLE_DECAY;
    this.sumX *= SAMPLE_DECAY;
    this.sumY *= SAMPLE_DECAY;
    this.sumXx *= SAMPLE_DECAY;
    this.sumXy *= SAMPLE_DECAY;
    this.add(promptTokens, startMs, 1);
  }

  /** Expected milliseconds to the first byte on an idle upstream. */
  predictMs(promptTokens: number): number {
    const slope = Math.max(0, this.slope());
    const base = (this.sumY - slope * this.sumX) / this.weight;
    return Math.max(1, base) + slope * promptTokens;
  }

  /** Expected milliseconds to process the prompt's tokens alone. */
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

  /** Milliseconds per prompt token; 0 where all prompts have the same length. */
  private slope(): number {
    const variance = this.sumXx - (this.sumX * this.sumX) / this.weight;
    if (variance < 1) return 0;
    const covariance = this.sumXy - (this.sumX * this.sumY) / this.weight;
    return covariance / variance;
  }
}
