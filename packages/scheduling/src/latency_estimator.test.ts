import {describe, expect, it} from 'vitest';
import {RUN_END} from './constants.js';
import {LatencyEstimator} from './latency_estimator.js';
import {upstream} from './test_support/queue_harness.js';
import {UpstreamState} from './upstream_state.js';

describe('LatencyEstimator', () => {
  it('predicts finite times when all events of a stream arrive at once', () => {
    const state = new UpstreamState(upstream('u'));
    const report = {
      requestId: 'r',
      end: RUN_END.COMPLETED,
      runMs: 5,
      eventGapMs: 0,
      load: null,
    };
    state.runs.set('r', {
      requestId: 'r',
      entryId: 'entry',
      promptTokens: 0,
      tier: 0,
      maxEventGapMs: null,
      medianReadMs: 0,
      grantedAtMs: 0,
      expectedStartMs: 1,
      hasStarted: true,
      confirmedAtMs: 0,
    });
    state.recordEnd(report, 5);
    const latency = new LatencyEstimator();
    latency.observeRun([state], state, report, {medianReadMs: 0});
    expect(state.serviceTimeMs).toBe(0);
    expect(latency.predictStartMs(state, 100)).toBeGreaterThan(0);
    expect(latency.predictRunMs(state)).toBeGreaterThan(0);
  });
});
