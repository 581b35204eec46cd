import {beforeEach, describe, expect, it} from 'vitest';
import {QUEUE_REFUSAL, RUN_END} from './constants.js';
import {DispatchQueue} from './dispatch_queue.js';
import {RetryBudget} from './retry_budget.js';
import type {GrantRequest, QueueAnswer, UpstreamSpec} from './types.js';
import {UpstreamLimits} from './upstream_limits.js';
import {UpstreamRateLimiter} from './upstream_rate_limiter.js';

const TICK_MS = 25;

function upstream(instanceId: string, slots = 4): UpstreamSpec {
  return {
    instanceId,
    address: '10.0.0.1:80',
    zone: 'a',
    slots,
    isLeaving: false,
    startedAtUnixMs: 1,
    softwareVersion: null,
  };
}

describe('a queue with limited upstreams', () => {
  let nowMs: number;
  let limits: UpstreamLimits;
  let queue: DispatchQueue;
  let answers: Map<string, QueueAnswer>;
  let count: number;

  beforeEach(() => {
    nowMs = 0;
    count = 0;
    answers = new Map();
    limits = new UpstreamLimits();
    queue = new DispatchQueue({
      nowMs: () => nowMs,
      retryBudget: new RetryBudget({ratio: 0, extra: 100, windowMs: 10_000}),
      rateLimiter: new UpstreamRateLimiter(limits),
    });
  });

  const limit = (instanceId: string, perSecond: number | null): void => {
    const statedAtMs = nowMs;
    limits.record('m', {...upstream(instanceId), perSecond, statedAtMs});
  };
  const submit = (changes: Partial<GrantRequest> = {}): string => {
    const requestId = `r${count++}`;
    queue.submit(
      {
        requestId,
        entryId: 'entry',
        zone: 'a',
        tier: 1,
        fingerprint: requestId,
        promptTokens: 0,
        objectiveLeftMs: 1_000,
        patienceLeftMs: 4_000,
        isRepeatable: true,
        isRetry: false,
        excluded: [],
        avoidedZones: [],
        requiredVersion: null,
        ...changes,
      },
      answer => answers.set(requestId, answer),
    );
    return requestId;
  };
  const advance = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      queue.reconcile('entry', []);
      queue.tick();
    }
  };
  const end = (requestId: string): void =>
    queue.handleEndReport({
      requestId,
      end: RUN_END.COMPLETED,
      runMs: 100,
      eventGapMs: null,
      load: null,
    });
  const placeOf = (requestId: string): string | null => {
    const answer = answers.get(requestId);
    return answer?.kind === 'placed'
      ? answer.placement.upstream.instanceId
      : null;
  };

  it('sends the limited one as many as it accepts, and the rest to the others', () => {
    queue.setUpstreams([upstream('small'), upstream('large', 20)]);
    limit('small', 2);
    const ids: string[] = [];
    for (let i = 0; i < 200; i++) {
      const id = submit();
      ids.push(id);
      advance(50);
      end(id);
    }
    const places = ids.map(placeOf);
    expect(places).not.toContain(null);
    const small = places.filter(place => place === 'small').length;
    expect(small).toBeGreaterThan(10);
    expect(small).toBeLessThanOrEqual(21);
  });

  it('counts retries as well', () => {
    queue.setUpstreams([upstream('small')]);
    limit('small', 1);
    submit();
    const retry = submit({isRetry: true});
    expect(placeOf(retry)).toBeNull();
    advance(1_000);
    expect(placeOf(retry)).toBe('small');
  });

  it('gives the limited room to the highest tier', () => {
    queue.setUpstreams([upstream('small')]);
    limit('small', 1);
    submit();
    const low = submit({tier: 2});
    const high = submit({tier: 0});
    advance(1_000);
    expect([placeOf(high), placeOf(low)]).toEqual(['small', null]);
    advance(1_000);
    expect(placeOf(low)).toBe('small');
  });

  it('refuses what no limited upstream can start in time, at once', () => {
    queue.setUpstreams([upstream('a'), upstream('b')]);
    limit('a', 0.1);
    limit('b', 0.1);
    submit();
    submit();
    const answer = answers.get(submit());
    expect(answer).toMatchObject({
      kind: 'refused',
      reason: QUEUE_REFUSAL.OVERLOADED,
    });
  });

  it('does not wait for a limited upstream that a retry can not reach in time', () => {
    queue.setUpstreams([upstream('small'), upstream('failed')]);
    limit('small', 0.1);
    submit({excluded: ['failed']});
    const retry = submit({excluded: ['failed'], isRetry: true});
    expect(placeOf(retry)).toBe('failed');
  });

  it('refuses nothing while another upstream has room', () => {
    queue.setUpstreams([upstream('small'), upstream('large', 50)]);
    limit('small', 0.1);
    for (let i = 0; i < 50; i++) submit();
    advance(100);
    const refused = [...answers.values()].filter(a => a.kind === 'refused');
    expect(refused).toEqual([]);
    expect(answers.size).toBe(50);
  });

  it('uses an upstream fully as soon as its limit has ended', () => {
    queue.setUpstreams([upstream('small')]);
    limit('small', 0.5);
    submit();
    nowMs += 10;
    limit('small', null);
    const ids = [submit(), submit(), submit()];
    expect(ids.map(placeOf)).toEqual(['small', 'small', 'small']);
  });
});
