import {LRUCache} from 'lru-cache';
import {RATE_SMOOTHING} from './constants.js';

const MAX_ACCOUNTS = 16_384;
const FIRST_SHARE = 0.5;

/** Learns how much of the allowed output an account's requests use. */
export class OutputLengthEstimator {
  private readonly shares = new LRUCache<string, number>({max: MAX_ACCOUNTS});

  /** Expected output tokens of a request. */
  expectedTokens(accountId: string, maxTokens: number): number {
    const share = this.shares.get(accountId) ?? FIRST_SHARE;
    return Math.max(1, Math.round(maxTokens * share));
  }

  /** Learns from a finished request. */
  recordLength(
    accountId: string,
    maxTokens: number,
    outputTokens: number,
  ): void {
    if (maxTokens <= 0) return;
    const share = Math.min(1, outputTokens / maxTokens);
    const before = this.shares.get(accountId) ?? share;
    this.shares.set(accountId, before + RATE_SMOOTHING * (share - before));
  }
}
