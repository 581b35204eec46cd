import {describe, expect, it} from 'vitest';
import {QUEUE_REFUSAL} from './constants.js';
import {
  ENTRY,
  grantRequest,
  QueueHarness,
  upstream,
} from './test_support/queue_harness.js';
import type {GrantRequest, UpstreamSpec} from './types.js';

const TICK_MS = 25;

describe('a queue with limited upstreams', () => {
  let harness: QueueHarness;
  let count = 0;

  const start = (...specs: UpstreamSpec[]): void => {
    harness = new QueueHarness(specs);
  };
  const submit = (changes: Partial<GrantRequest> = {}): string => {
    const id = `r${count++}`;
    harness.submit(grantRequest(id, changes));
    return id;
  };
  const advance = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      harness.queue.reconcile(ENTRY, []);
      harness.advance(TICK_MS);
    }
  };

  it('sends the limited one as many as it accepts, and the rest to the others', () => {
    start(upstream('small', 4), upstream('large', 20));
    harness.limit('small', 2);
    const ids: string[] = [];
    for (let i = 0; i < 200; i++) {
      const id = submit();
      ids.push(id);
      advance(50);
      harness.end(id);
    }
    const places = ids.map(id => harness.placeOf(id));
    expect(places).not.toContain(null);
    const small = places.filter(place => place === 'small').length;
    expect(small).toBeGreaterThan(10);
    expect(small).toBeLessThanOrEqual(21);
  });

  it('counts retries as well', () => {
    start(upstream('small', 4));
    harness.limit('small', 1);
    submit();
    const retry = submit({isRetry: true});
    expect(harness.placeOf(retry)).toBeNull();
    advance(1_000);
    expect(harness.placeOf(retry)).toBe('small');
  });

  it('gives the limited room to the highest tier', () => {
    start(upstream('small', 4));
    harness.limit('small', 1);
    submit();
    const low = submit({tier: 2});
    const high = submit({tier: 0});
    advance(1_000);
    expect([harness.placeOf(high), harness.placeOf(low)]).toEqual([
      'small',
      null,
    ]);
    advance(1_000);
    expect(harness.placeOf(low)).toBe('small');
  });

  it('refuses what no limited upstream can start in time, at once', () => {
    start(upstream('a', 4), upstream('b', 4));
    harness.limit('a', 0.1);
    harness.limit('b', 0.1);
    submit();
    submit();
    const answer = harness.answers.get(submit());
    expect(answer).toMatchObject({
      kind: 'refused',
      reason: QUEUE_REFUSAL.OVERLOADED,
    });
  });

  it('does not wait for a limited upstream that a retry can not reach in time', () => {
    start(upstream('small', 4), upstream('failed', 4));
    harness.limit('small', 0.1);
    submit({excluded: ['failed']});
    const retry = submit({excluded: ['failed'], isRetry: true});
    expect(harness.placeOf(retry)).toBe('failed');
  });

  it('refuses nothing while another upstream has room', () => {
    start(upstream('small', 4), upstream('large', 50));
    harness.limit('small', 0.1);
    for (let i = 0; i < 50; i++) submit();
    advance(100);
    const refused = [...harness.answers.values()].filter(
      a => a.kind === 'refused',
    );
    expect(refused).toEqual([]);
    expect(harness.answers.size).toBe(50);
  });

  it('uses an upstream fully as soon as its limit has ended', () => {
    start(upstream('small', 4));
    harness.limit('small', 0.5);
    submit();
    harness.nowMs += 10;
    harness.limit('small', null);
    const ids = [submit(), submit(), submit()];
    expect(ids.map(id => harness.placeOf(id))).toEqual([
      'small',
      'small',
      'small',
    ]);
  });
});
