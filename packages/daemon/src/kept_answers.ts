import type {CachedResponse} from '@fescuespool/protocol';
import {CLAIM_STATE} from '@fescuespool/protocol';
import type {ClaimState} from '@fescuespool/protocol';
import {LRUCache} from 'lru-cache';
import {
  CACHED_RESPONSE_TTL_MS,
  MAX_CLAIM_NONCES,
  MAX_CACHED_RESPONSE_BYTES,
} from './constants.js';

const ENTRY_OVERHEAD_BYTES = 512;

/** State of the claims that this process made, by nonce. */
export class LocalClaims {
  private readonly states = new LRUCache<string, ClaimState>({
    max: MAX_CLAIM_NONCES,
  });
  private readonly answers = new LRUCache<string, CachedResponse>({
    maxSize: MAX_CACHED_RESPONSE_BYTES,
    sizeCalculation: answer => answer.bodyBase64.length + ENTRY_OVERHEAD_BYTES,
    ttl: CACHED_RESPONSE_TTL_MS,
  });

  /** Records the state of a claim. */
  setState(nonce: string, state: ClaimState): void {
    this.states.set(nonce, state);
  }

  /** Keeps the answer of a finished claim. */
  finish(nonce: string, answer: CachedResponse | null): void {
    this.states.set(nonce, CLAIM_STATE.FINISHED);
    if (answer) this.answers.set(nonce, answer);
  }

  /** State of a claim; unknown where this process did not make it. */
  stateOf(nonce: string): ClaimState {
    return this.states.get(nonce) ?? CLAIM_STATE.UNKNOWN;
  }

  /** Answer of a finished claim while it is kept. */
  responseOf(nonce: string): CachedResponse | null {
    return this.answers.get(nonce) ?? null;
  }
}
