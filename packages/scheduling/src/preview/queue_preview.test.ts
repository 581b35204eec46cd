import {describe, expect, it} from 'vitest';
import {RUN_END} from '../constants.js';
import {
  grantRequest,
  QueueHarness,
  upstream,
} from '../test_support/queue_harness.js';
import type {GrantRequest} from '../types.js';
import type {QueuePreview} from './queue_preview.js';

describe('the preview of a request', () => {
  const twoSlots = (): QueueHarness =>
    new QueueHarness([upstream('near'), upstream('far', 1, {zone: 'b'})]);
  const preview = (
    {queue}: QueueHarness,
    changes: Partial<GrantRequest> = {},
  ): QueuePreview => queue.preview(grantRequest('asked', changes));

  it('names the upstream that the request then gets, and takes no room', () => {
    const harness = twoSlots();
    for (const expected of ['near', 'far']) {
      const {outcome, chosen, upstreams} = preview(harness);
      expect([outcome, chosen]).toEqual(['placed', expected]);
      expect(upstreams[0]?.instanceId).toBe(expected);
      harness.submit(grantRequest(`to-${expected}`));
      expect(harness.placeOf(`to-${expected}`)).toBe(expected);
    }
    expect(preview(harness)).toMatchObject({
      outcome: 'waits',
      reason: 'no_room',
    });
    expect(harness.queue.waitingCount).toBe(0);
  });

  it('tells what keeps the request from an upstream', () => {
    const harness = new QueueHarness([
      upstream('full'),
      upstream('leaving', 1, {isLeaving: true}),
      upstream('failed'),
      upstream('limited', 2),
      upstream('paused'),
      upstream('other', 1, {softwareVersion: 'v2'}),
    ]);
    harness.limit('limited', 1);
    for (const id of ['full', 'failed', 'limited']) {
      harness.submit(grantRequest(id));
      expect(harness.placeOf(id)).toBe(id);
    }
    harness.end('failed', RUN_END.UNREACHABLE);
    harness.pause('paused', 5_000);
    const {upstreams} = preview(harness);
    const obstacles = upstreams.map(({instanceId, obstacle}) => [
      instanceId,
      obstacle,
    ]);
    expect(Object.fromEntries(obstacles)).toEqual({
      full: 'full',
      leaving: 'leaving',
      failed: 'backing_off',
      paused: 'paused',
      limited: 'at_rate_limit',
      other: null,
    });
    const bound = preview(harness, {requiredVersion: 'v1'});
    expect([bound.outcome, bound.reason]).toEqual(['refused', 'no_version']);
  });

  it('tells why it would be refused', () => {
    const harness = twoSlots();
    const reasonOf = (changes: Partial<GrantRequest>): unknown[] => {
      const {outcome, reason} = preview(harness, changes);
      return [outcome, reason];
    };
    expect(reasonOf({patienceLeftMs: 10})).toEqual(['refused', 'expired']);
    harness.queue.setUpstreams([]);
    expect(reasonOf({})).toEqual(['refused', 'no_upstream']);
  });

  it('goes where the beginning of its prompt is held', () => {
    const harness = twoSlots();
    const promptParts = [{id: 'a1', tokens: 4_000}];
    const prompt = {promptTokens: 4_000, promptParts};
    harness.submit(grantRequest('first', {...prompt, zone: 'b'}));
    harness.start('first');
    harness.end('first');
    const {chosen, upstreams} = preview(harness, prompt);
    expect([chosen, upstreams[0]?.heldTokens]).toEqual(['far', 4_000]);
  });
});
