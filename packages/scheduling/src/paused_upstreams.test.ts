import {beforeEach, describe, expect, it} from 'vitest';
import {PLACEMENT_WINDOW, QUEUE_REFUSAL} from './constants.js';
import {
  ENTRY,
  grantRequest,
  QueueHarness,
  upstream,
} from './test_support/queue_harness.js';
import type {GrantRequest, UpstreamSpec} from './types.js';

const TICK_MS = 25;
const OTHER_ENTRY = 'entry-2';
const PAUSE_MS = 1_500;

describe('a queue with upstreams that want no requests from an entry', () => {
  let harness: QueueHarness;
  let count = 0;

  beforeEach(() => {
    count = 0;
  });

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
      harness.advance(TICK_MS);
    }
  };

  it('places its requests at the others', () => {
    start(upstream('paused', 4), upstream('open', 4));
    harness.pause('paused', PAUSE_MS);
    const ids = [submit(), submit(), submit({isRetry: true})];
    expect(ids.map(id => harness.placeOf(id))).toEqual(ids.map(() => 'open'));
  });

  it('lets its request wait for a busy one rather than use the paused one', () => {
    start(upstream('paused', 1), upstream('busy', 1));
    harness.pause('paused', PAUSE_MS);
    const first = submit();
    const second = submit();
    expect(harness.placeOf(second)).toBeNull();
    advance(100);
    harness.end(first);
    expect(harness.placeOf(second)).toBe('busy');
  });

  it('does not go back to the paused one if the request failed at all others', () => {
    start(upstream('paused', 1), upstream('failed', 1));
    harness.pause('paused', PAUSE_MS);
    const id = submit({excluded: ['failed', 'paused'], isRetry: true});
    expect(harness.placeOf(id)).toBe('failed');
  });

  it('lets its requests wait until the pause ends', () => {
    start(upstream('paused', 4));
    harness.pause('paused', PAUSE_MS);
    const id = submit({patienceLeftMs: 2 * PAUSE_MS});
    advance(PAUSE_MS - TICK_MS);
    expect(harness.answers.get(id)).toBeUndefined();
    advance(2 * TICK_MS);
    expect(harness.placeOf(id)).toBe('paused');
  });

  it('refuses at once what can not wait so long, with the rest of the pause as Retry-After', () => {
    start(upstream('paused', 4));
    harness.pause('paused', PAUSE_MS);
    advance(300);
    const id = submit({patienceLeftMs: 600});
    expect(harness.answers.get(id)).toEqual({
      kind: 'refused',
      reason: QUEUE_REFUSAL.OVERLOADED,
      retryAfterMs: PAUSE_MS - 300,
    });
  });

  it('refuses waiting requests once the pause has become too long for them', () => {
    start(upstream('paused', 4));
    harness.pause('paused', 500);
    const id = submit({patienceLeftMs: 1_000});
    advance(100);
    expect(harness.answers.get(id)).toBeUndefined();
    harness.pause('paused', 3_000);
    advance(TICK_MS);
    expect(harness.refusalOf(id)).toBe(QUEUE_REFUSAL.OVERLOADED);
  });

  it('places those of other entries, also behind many of a higher tier that wait', () => {
    start(upstream('paused', 4));
    harness.pause('paused', PAUSE_MS);
    for (let i = 0; i < 2 * PLACEMENT_WINDOW; i++) {
      submit({tier: 0, patienceLeftMs: 20_000});
    }
    const id = submit({tier: 2, entryId: OTHER_ENTRY, patienceLeftMs: 300});
    expect(harness.placeOf(id)).toBe('paused');
  });

  it('counts those that wait for the end of the pause only for the same entry', () => {
    start(upstream('paused', 1));
    const running = submit({entryId: OTHER_ENTRY});
    harness.pause('paused', PAUSE_MS);
    const waiting = Array.from({length: 8}, () =>
      submit({patienceLeftMs: 20_000}),
    );
    expect(waiting.map(id => harness.answers.get(id))).toEqual(
      waiting.map(() => undefined),
    );
    const late = submit({patienceLeftMs: PAUSE_MS + 200});
    expect(harness.refusalOf(late)).toBe(QUEUE_REFUSAL.OVERLOADED);
    const other = submit({entryId: OTHER_ENTRY, patienceLeftMs: 700});
    advance(100);
    harness.end(running);
    expect(harness.placeOf(other)).toBe('paused');
  });

  it('lets a stream wait for the only one of its version', () => {
    start(
      upstream('paused', 1, {softwareVersion: 'v1'}),
      upstream('open', 4, {softwareVersion: 'v2'}),
    );
    harness.pause('paused', PAUSE_MS);
    const bound = submit({requiredVersion: 'v1'});
    expect(harness.answers.get(bound)).toBeUndefined();
    expect(harness.placeOf(submit())).toBe('open');
    advance(PAUSE_MS + TICK_MS);
    expect(harness.placeOf(bound)).toBe('paused');
  });

  it('uses a new life of it at once', () => {
    start(upstream('paused', 4));
    harness.pause('paused', PAUSE_MS);
    const id = submit();
    expect(harness.placeOf(id)).toBeNull();
    harness.queue.setUpstreams([upstream('paused', 4, {startedAtUnixMs: 2})]);
    expect(harness.placeOf(id)).toBe('paused');
  });

  it('keeps the longest of several pauses', () => {
    start(upstream('paused', 4));
    harness.pause('paused', PAUSE_MS);
    harness.pause('paused', 200);
    expect(
      harness.pauses.waitMs(ENTRY, upstream('paused'), harness.nowMs),
    ).toBe(PAUSE_MS);
  });
});
