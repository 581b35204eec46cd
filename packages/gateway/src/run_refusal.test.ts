import {QUEUE_REFUSAL} from '@fescuespool/scheduling';
import {describe, expect, it} from 'vitest';
import {GATEWAY_REFUSAL} from './constants.js';
import type {RequestTimer} from './request_timer.js';
import {RunRefusals} from './run_refusal.js';

function refusals(ownRemainingMs: number, hasNotRun = true): RunRefusals {
  const timer = {ownRemainingMs} as unknown as RequestTimer;
  return new RunRefusals(timer, () => hasNotRun);
}

describe('RunRefusals', () => {
  describe('of a request that the queue refuses', () => {
    const answer = {reason: QUEUE_REFUSAL.OVERLOADED, retryAfterMs: 4_217};

    it('tells the caller to come back while it still waits to', () => {
      expect(refusals(6_000).fromQueue(answer).retryAfterMs).toBe(2_000);
      expect(refusals(15_000).fromQueue(answer).retryAfterMs).toBe(4_217);
    });

    it('lets the caller come at once at the end of its time limit', () => {
      expect(refusals(0).fromQueue(answer).retryAfterMs).toBe(0);
    });

    it('promises nothing if the request may have run', () => {
      const {reason} = refusals(6_000, false).fromQueue(answer);
      expect(reason).toBe(GATEWAY_REFUSAL.UPSTREAM_FAILED);
    });
  });
});
