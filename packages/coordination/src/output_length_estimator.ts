import {LRUCache} from 'lru-cache';
import {RATE_SMOOTHING} from './constants.js';

const MAX_ACCOUNTS = 16_384;
const INITIAL_USED_FRACTION = 0.5;

/** Estimates output lengths from the used part of each account's limits. */
export class OutputLengthEstimator {
  private readonly usedFractions = new LRUCache<string, number>({
    max: MAX_ACCOUNTS,
  });

  /** Expected output tokens of a request, at least 1. */
  expectedTokens(accountId: string, maxTokens: number): number {
    const usedFraction =
      this.usedFractions.get(accountId) ?? INITIAL_USED_FRACTION;
    return Math.max(1, Math.round(maxTokens * usedFraction));
  }

  /** Updates the account's estimate from a completed request. */
  recordLength(
    accountId: string,
    maxTokens: number,
    outputTokens: number,
  ): void {
    if (maxTokens <= 0) return;
    const usedFraction = Math.min(1, outputTokens / maxTokens);
    const previous = this.usedFractions.get(accountId) ?? usedFraction;
    this.usedFractions.set(
      accountId,
      previous + RATE_SMOOTHING * (usedFraction - previous),
    );
  }
}
