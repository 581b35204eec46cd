import {beforeEach, describe, expect, it} from 'vitest';
import {REPEATABLE_ONLY_MS, RUN_END} from './constants.js';
import {upstream} from './test_support/queue_harness.js';
import type {RunEnd} from './types.js';
import {UpstreamState} from './upstream_state.js';

const SLOTS = 5;

describe('UpstreamState', () => {
  let state: UpstreamState;
  let nowMs: number;

  beforeEach(() => {
    nowMs = 1_000;
    state = new UpstreamState(upstream('u', SLOTS));
  });

  const grant = (requestId: string): void => {
    state.runs.set(requestId, {
      requestId,
      entryId: 'entry-1',
      promptTokens: 0,
      tier: 0,
      maxEventGapMs: null,
      medianReadMs: 0,
      grantedAtMs: nowMs,
      expectedStartMs: 50,
      hasStarted: false,
      confirmedAtMs: nowMs,
    });
  };
  const end = (requestId: string, outcome: RunEnd): void =>
    state.recordEnd(
      {requestId, end: outcome, runMs: 5, eventGapMs: null, load: null},
      nowMs,
    );
  const run = (requestId: string, outcome: RunEnd): void => {
    grant(requestId);
    nowMs += 5;
    end(requestId, outcome);
  };

  describe('when new connections break while older runs go on', () => {
    beforeEach(() => {
      grant('older');
      nowMs += 50;
      state.recordStart('older', null, nowMs);
      run('a', RUN_END.BROKEN);
      run('b', RUN_END.BROKEN);
    });

    it('stays on trial when an older run completes', () => {
      nowMs += 20;
      end('older', RUN_END.COMPLETED);
      expect(state.isUsable(nowMs)).toBe(false);
      expect(state.isOnTrial).toBe(true);
      expect(state.acceptsNonRepeatable(nowMs)).toBe(false);
    });

    it('is probed with one run at a time and growing backoff', () => {
      const backoffs: number[] = [];
      for (let i = 0; i < 3; i++) {
        const from = nowMs;
        while (!state.isUsable(nowMs)) nowMs += 10;
        backoffs.push(nowMs - from);
        end('older', RUN_END.COMPLETED);
        expect(state.freeSlots(nowMs)).toBe(1);
        run(`trial-${i}`, RUN_END.BROKEN);
      }
      expect(backoffs[1]).toBeGreaterThan(backoffs[0]!);
      expect(backoffs[2]).toBeGreaterThan(backoffs[1]!);
    });

    it('gets all slots after a newer run, non-repeatable requests later', () => {
      while (!state.isUsable(nowMs)) nowMs += 10;
      end('older', RUN_END.COMPLETED);
      grant('trial');
      nowMs += 5;
      state.recordStart('trial', null, nowMs);
      end('trial', RUN_END.COMPLETED);
      run('more', RUN_END.COMPLETED);
      expect(state.freeSlots(nowMs)).toBe(SLOTS);
      expect(state.acceptsNonRepeatable(nowMs)).toBe(false);
      nowMs += REPEATABLE_ONLY_MS;
      expect(state.acceptsNonRepeatable(nowMs)).toBe(true);
    });
  });

  it('accepts non-repeatable requests after one break and a completed run', () => {
    run('a', RUN_END.BROKEN);
    expect(state.acceptsNonRepeatable(nowMs)).toBe(false);
    run('b', RUN_END.COMPLETED);
    expect(state.acceptsNonRepeatable(nowMs)).toBe(true);
  });

  it('accepts non-repeatable requests once reachable and a run completes', () => {
    run('a', RUN_END.UNREACHABLE);
    while (!state.isUsable(nowMs)) nowMs += 10;
    expect(state.acceptsNonRepeatable(nowMs)).toBe(false);
    run('b', RUN_END.COMPLETED);
    expect(state.acceptsNonRepeatable(nowMs)).toBe(true);
  });
});
