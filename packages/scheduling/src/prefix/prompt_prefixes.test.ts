import {beforeEach, describe, expect, it} from 'vitest';
import {RUN_END} from '../constants.js';
import {queueStats} from '../queue_stats.js';
import {
  grantRequest,
  QueueHarness,
  upstream,
} from '../test_support/queue_harness.js';
import type {GrantRequest} from '../types.js';

const SYSTEM = {id: 'a1', tokens: 4_000};

/** A request of 4,000 tokens that others share and 50 of its own. */
function promptRequest(
  id: string,
  changes: Partial<GrantRequest> = {},
): GrantRequest {
  return grantRequest(id, {
    promptTokens: 4_050,
    promptParts: [SYSTEM, {id: `own-${id}`, tokens: 50}],
    ...changes,
  });
}

describe('PromptPrefixes', () => {
  /** `near` is preferred by zone; each upstream has four slots. */
  let harness: QueueHarness;

  beforeEach(() => {
    harness = new QueueHarness([
      upstream('near', 4),
      upstream('far', 4, {zone: 'b'}),
    ]);
  });

  const runAt = (id: string, zone: string): void => {
    harness.submit(promptRequest(id, {zone}));
    harness.start(id, 140);
    harness.end(id);
  };
  const place = (id: string, changes: Partial<GrantRequest> = {}): unknown => {
    harness.submit(promptRequest(id, changes));
    const placement = harness.placementOf(id);
    return [placement?.upstream.instanceId, placement?.heldTokens];
  };

  describe('where a request goes', () => {
    it('prefers the upstream that has read its beginning', () => {
      runAt('first', 'b');
      expect(place('next')).toEqual(['far', 4_000]);
    });

    it('sends a repeated request to where its whole prompt was read', () => {
      harness.submit(promptRequest('first', {zone: 'b'}));
      harness.start('first', 140);
      harness.end('first', RUN_END.CANCELLED);
      const {promptParts} = promptRequest('first');
      expect(place('again', {promptParts})).toEqual(['far', 4_050]);
    });

    it('prefers the other one where the wait is longer than what is saved', () => {
      runAt('first', 'b');
      harness.submit(grantRequest('long', {zone: 'b', promptTokens: 9_000}));
      expect(place('next')).toEqual(['near', 0]);
      expect(harness.placementOf('next')?.rereadTokens).toBe(4_000);
    });

    it('spreads a part that many requests share at once', () => {
      runAt('first', 'b');
      // Reading takes 60 ms at `far` and 140 ms at `near`, one after the other.
      const own = {id: 'own', tokens: 3_000};
      const places = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'].map(id => {
        place(id, {promptTokens: 7_000, promptParts: [SYSTEM, own]});
        return harness.placeOf(id);
      });
      const [far, near] = ['far', 'near'];
      expect(places).toEqual([far, far, near, far, far, near]);
    });

    it('goes elsewhere if that upstream leaves or has another version', () => {
      runAt('first', 'b');
      const near = upstream('near', 4, {softwareVersion: 'v2'});
      const far = upstream('far', 4, {zone: 'b'});
      harness.queue.setUpstreams([near, far]);
      expect(place('versioned', {requiredVersion: 'v2'})).toEqual(['near', 0]);
      harness.queue.setUpstreams([near, {...far, isLeaving: true}]);
      expect(place('next')).toEqual(['near', 0]);
    });

    it('is as without parts where none are told', () => {
      runAt('first', 'b');
      expect(place('next', {promptParts: []})).toEqual(['near', 0]);
    });
  });

  describe('what counts as held', () => {
    it('is only what a response began with', () => {
      harness.submit(promptRequest('waiting', {zone: 'b'}));
      harness.submit(promptRequest('rejected', {zone: 'b'}));
      harness.end('rejected', RUN_END.REJECTED);
      harness.submit(promptRequest('broken', {zone: 'b'}));
      harness.end('broken', RUN_END.FAILED);
      expect(queueStats(harness.queue).heldParts).toBe(0);
    });

    it('ends with the life of the upstream', () => {
      runAt('first', 'b');
      harness.queue.setUpstreams([
        upstream('near', 4),
        upstream('far', 4, {zone: 'b', startedAtUnixMs: 2}),
      ]);
      expect(place('next')).toEqual(['near', 0]);
    });

    it('ends when the upstream can not be reached', () => {
      runAt('first', 'b');
      harness.submit(promptRequest('lost', {zone: 'b'}));
      harness.end('lost', RUN_END.UNREACHABLE);
      expect(queueStats(harness.queue).heldParts).toBe(0);
    });

    it('yields to what runs at the upstream', () => {
      runAt('first', 'a');
      const outputTokens = 260_000;
      harness.submit(grantRequest('plain', {outputTokens}));
      expect(queueStats(harness.queue).heldParts).toBe(2);
      harness.submit(promptRequest('huge', {outputTokens}));
      expect(queueStats(harness.queue).heldParts).toBe(0);
    });

    it('is no more than the stated length of the prompt', () => {
      const promptTokens = 3_999;
      harness.submit(promptRequest('odd', {promptTokens}));
      harness.start('odd');
      expect(queueStats(harness.queue).heldParts).toBe(0);
    });
  });

  describe('a start that takes as long as without the held parts', () => {
    /** Learns 60 ms, and 1 ms for each 50 tokens that are read. */
    const learn = (): void => {
      for (let i = 0; i < 200; i++) {
        const promptTokens = i % 2 === 0 ? 0 : 4_000;
        harness.submit(grantRequest(`l${i}`, {promptTokens}));
        harness.start(`l${i}`, i % 2 === 0 ? 10 : 90);
        harness.end(`l${i}`);
      }
    };

    it('shows that the upstream has dropped them', () => {
      learn();
      runAt('first', 'b');
      expect(place('next')).toEqual(['far', 4_000]);
      harness.start('next', 100);
      expect(queueStats(harness.queue).disprovedTokens).toBe(4_000);
    });

    it('teaches the start times nothing wrong', () => {
      learn();
      runAt('first', 'b');
      for (let i = 0; i < 20; i++) {
        place(`n${i}`);
        harness.start(`n${i}`, 95);
        harness.end(`n${i}`);
      }
      const plain = promptRequest('plain', {promptParts: []});
      harness.submit(plain);
      const {expectedStartMs} = harness.placementOf('plain')!;
      expect(Math.abs(expectedStartMs - 92)).toBeLessThan(10);
    });

    it('is believed while starts fit', () => {
      learn();
      runAt('first', 'b');
      for (let i = 0; i < 20; i++) {
        expect(place(`n${i}`)).toEqual(['far', 4_000]);
        harness.start(`n${i}`, 12);
        harness.end(`n${i}`);
      }
      expect(queueStats(harness.queue).disprovedTokens).toBe(0);
    });
  });
});
