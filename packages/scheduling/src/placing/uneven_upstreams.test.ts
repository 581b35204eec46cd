import {beforeEach, describe, expect, it} from 'vitest';
import {
  grantRequest,
  QueueHarness,
  reportedLoad,
  upstream,
} from '../test_support/queue_harness.js';
import type {GrantRequest} from '../types.js';

const SLOTS = 6;
const MAX_GAP_MS = 250;
/** Milliseconds per prompt token of an upstream of usual speed. */
const READ_MS = 0.0125;
const SLOW = 4.4;

function stream(id: string, changes: Partial<GrantRequest>): GrantRequest {
  return grantRequest(id, {
    objectiveLeftMs: 800,
    patienceLeftMs: 12_000,
    maxEventGapMs: MAX_GAP_MS,
    ...changes,
  });
}

describe('streams on upstreams whose speeds differ 4.4 times', () => {
  let harness: QueueHarness;

  beforeEach(() => {
    const ids = ['fast-1', 'fast-2', 'fast-3', 'slow'];
    harness = new QueueHarness(ids.map(id => upstream(id, SLOTS)));
    for (let i = 0; i < 20; i++) {
      for (const id of ids) learn(id, `learn-${id}-${i}`);
    }
  });

  /** Runs a prompt at one upstream, at its speed. */
  const learn = (at: string, id: string): void => {
    const others = [...harness.queue.upstreams.keys()].filter(u => u !== at);
    harness.submit(stream(id, {promptTokens: 4_000, excluded: others}));
    expect(harness.placeOf(id)).toBe(at);
    const factor = at === 'slow' ? SLOW : 1;
    const startMs = 60 + factor * READ_MS * 4_000;
    const load = reportedLoad({running: 1, slots: SLOTS, slowdown: 1});
    harness.queue.handleStartReport({requestId: id, startMs, load});
    harness.queue.handleEndReport({
      requestId: id,
      end: 'completed',
      runMs: startMs + 500 * factor,
      eventGapMs: 20 * factor,
      load: null,
    });
    harness.advance(10);
  };

  const fill = (at: string, tier: number, count: number): void => {
    const others = [...harness.queue.upstreams.keys()].filter(u => u !== at);
    for (let i = 0; i < count; i++) {
      const id = `${at}-${i}`;
      harness.submit(stream(id, {tier, promptTokens: 50, excluded: others}));
      expect(harness.placeOf(id)).toBe(at);
      harness.queue.handleStartReport({requestId: id, startMs: 60, load: null});
    }
  };

  it('start on fast ones, also where a slow one has more room', () => {
    for (let i = 0; i < 9; i++) {
      harness.submit(stream(`s${i}`, {promptTokens: 3_700}));
      expect(harness.placeOf(`s${i}`)).not.toBe('slow');
    }
  });

  it('of the highest tier wait for a fast one rather than pause streams', () => {
    for (const id of ['fast-1', 'fast-2', 'fast-3']) fill(id, 1, SLOTS);
    fill('slow', 1, 2);
    harness.submit(stream('top', {tier: 0, promptTokens: 3_700}));
    expect(harness.placeOf('top')).toBeNull();
    harness.end('fast-2-0');
    expect(harness.placeOf('top')).toBe('fast-2');
  });

  it('go where they do harm before their callers leave', () => {
    for (const id of ['fast-1', 'fast-2', 'fast-3']) fill(id, 1, SLOTS);
    fill('slow', 1, 2);
    harness.submit(
      stream('last', {promptTokens: 3_700, patienceLeftMs: 2_000}),
    );
    for (let i = 0; i < 100; i++) harness.advance(20);
    expect(harness.placeOf('last')).toBe('slow');
  });

  it('with short prompts use the slow one while the fast ones are full', () => {
    for (const id of ['fast-1', 'fast-2', 'fast-3']) fill(id, 1, SLOTS);
    harness.submit(stream('short', {promptTokens: 300}));
    expect(harness.placeOf('short')).toBe('slow');
  });
});

describe('streams that all start at once, before any has ended', () => {
  it('leave predictions near the times seen', () => {
    const count = 400;
    const ids = Array.from({length: count}, (_, i) => `u${i}`);
    const harness = new QueueHarness(ids.map(id => upstream(id, SLOTS)));
    for (let i = 0; i < count * SLOTS; i++) {
      harness.submit(stream(`s${i}`, {promptTokens: 1_000 + (i % 3_000)}));
    }
    for (const id of harness.order) {
      harness.queue.handleStartReport({
        requestId: id,
        startMs: 100,
        load: null,
      });
    }
    harness.submit(stream('next', {promptTokens: 2_000}));
    expect(harness.refusalOf('next')).toBeNull();
  });
});
