import type {CachedResponse} from '@fescuespool/protocol';
import {CLAIM_STATE} from '@fescuespool/protocol';
import type {ClaimState} from '@fescuespool/protocol';
import {LRUCache} from 'lru-cache';
import {
  CACHED_RESPONSE_TTL_MS,
  MAX_CACHED_RESPONSE_BYTES,
  MAX_CLAIM_NONCES,
} from './constants.js';

// Assumed size of the status and the headers of a response.
const RESPONSE_OVERHEAD_BYTES = 512;

/**
 * States and cached responses of the claims of this process, by claim nonce.
 */
export class LocalClaims {
  private readonly states = new LRUCache<string, ClaimState>({
    max: MAX_CLAIM_NONCES,
  });
  private readonly responses = new LRUCache<string, CachedResponse>({
    maxSize: MAX_CACHED_RESPONSE_BYTES,
    sizeCalculation: response =>
      response.bodyBase64.length + RESPONSE_OVERHEAD_BYTES,
    ttl: CACHED_RESPONSE_TTL_MS,
  });

  /** Records the state of a claim, which other members query. */
  setState(nonce: string, state: ClaimState): void {
    this.states.set(nonce, state);
  }

  /** Marks a claim as finished and caches its response, if there is one. */
  finish(nonce: string, response: CachedResponse | null): void {
    this.states.set(nonce, CLAIM_STATE.FINISHED);
    if (response) this.responses.set(nonce, response);
  }

  /**
   * Returns the state of a claim; UNKNOWN if it was created elsewhere or
   * evicted.
   */
  stateOf(nonce: string): ClaimState {
    return this.states.get(nonce) ?? CLAIM_STATE.UNKNOWN;
  }

  /** Returns the response of a finished claim; null if none is cached. */
  responseOf(nonce: string): CachedResponse | null {
    return this.responses.get(nonce) ?? null;
  }
}
