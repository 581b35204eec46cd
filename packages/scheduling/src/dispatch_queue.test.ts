import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {QUEUE_REFUSAL, RUN_END} from './constants.js';
import {
  ENTRY,
  grantRequest,
  QueueHarness,
  reportedLoad,
  upstream,
} from './test_support/queue_harness.js';

describe('DispatchQueue', () => {
  describe('order', () => {
    it('places the highest tier first when a slot becomes free', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      harness.submit(grantRequest('low', {tier: 12}));
      harness.submit(grantRequest('high', {tier: 10}));
      harness.end('running');
      harness.end('high');
      expect(harness.order).toEqual(['running', 'high', 'low']);
    });

    it('places a late request of a higher tier before a lower tier', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      harness.submit(grantRequest('late', {tier: 10, objectiveLeftMs: 1}));
      harness.submit(grantRequest('low', {tier: 12}));
      harness.advance(50);
      harness.end('running');
      expect(harness.order).toEqual(['running', 'late']);
    });

    it('places late requests of a tier after those that can be in time', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      harness.submit(grantRequest('late', {objectiveLeftMs: 10}));
      harness.submit(grantRequest('in-time'));
      harness.advance(200);
      harness.end('running');
      expect(harness.order).toEqual(['running', 'in-time']);
    });

    it('places a repeated request that was refused before other late ones', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      harness.submit(
        grantRequest('first', {fingerprint: 'f', patienceLeftMs: 500}),
      );
      harness.advance(450);
      expect(harness.answers.get('first')?.kind).toBe('refused');
      harness.submit(grantRequest('in-time'));
      harness.submit(grantRequest('late', {objectiveLeftMs: 0}));
      harness.submit(grantRequest('again', {fingerprint: 'f'}));
      for (const id of ['running', 'in-time', 'again']) harness.end(id);
      expect(harness.order).toEqual(['running', 'in-time', 'again', 'late']);
    });
  });

  describe('slots', () => {
    it('never grants more runs than an upstream has slots', () => {
      fc.assert(
        fc.property(
          fc.array(fc.tuple(fc.nat(2), fc.nat(40)), {maxLength: 60}),
          steps => {
            const harness = new QueueHarness([
              upstream('u', 2),
              upstream('v', 3),
            ]);
            steps.forEach(([tier, endOf], i) => {
              harness.submit(grantRequest(`r${i}`, {tier}));
              harness.end(`r${endOf}`);
              for (const state of harness.queue.upstreams.values()) {
                expect(state.runs.size).toBeLessThanOrEqual(state.spec.slots);
              }
            });
          },
        ),
        {seed: 20261204, numRuns: 200},
      );
    });

    it('does not place requests on a leaving upstream', () => {
      const harness = new QueueHarness([
        {...upstream('u'), isLeaving: true},
        upstream('v'),
      ]);
      harness.submit(grantRequest('a'));
      expect(harness.placementOf('a')?.upstream.instanceId).toBe('v');
    });

    it('counts load of others that the upstream reports as used slots', () => {
      const harness = new QueueHarness([upstream('u', 4)]);
      harness.submit(grantRequest('a'));
      const load = reportedLoad({running: 4, waiting: 1});
      harness.queue.handleStartReport({requestId: 'a', startMs: 10, load});
      harness.submit(grantRequest('b'));
      expect(harness.answers.has('b')).toBe(false);
    });

    it('drops runs that their entry no longer reports', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('lost'));
      harness.submit(grantRequest('next'));
      harness.advance(500);
      harness.queue.reconcile(ENTRY, []);
      expect(harness.order).toEqual(['lost', 'next']);
    });

    it('frees slots of a suspected entry after the expected run time', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('lost', {entryId: 'other'}));
      harness.submit(grantRequest('next'));
      harness.queue.markEntrySuspected('other');
      harness.advance(100);
      expect(harness.order).toEqual(['lost']);
      harness.advance(500);
      expect(harness.order).toEqual(['lost', 'next']);
    });

    it('counts reported runs that an earlier dispatcher granted', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.queue.reconcile(ENTRY, [{requestId: 'old', instanceId: 'u'}]);
      harness.submit(grantRequest('new'));
      expect(harness.answers.has('new')).toBe(false);
      harness.end('old');
      expect(harness.order).toEqual(['new']);
    });
  });

  describe('refusals', () => {
    it('refuses a request at once if its caller would stop waiting first', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      for (let i = 0; i < 20; i++) harness.submit(grantRequest(`r${i}`));
      const refused = [...harness.answers.values()].filter(
        answer => answer.kind === 'refused',
      );
      expect(refused.length).toBeGreaterThan(0);
      expect(harness.nowMs).toBe(0);
    });

    it('refuses a request in the queue before its caller stops waiting', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('running'));
      harness.submit(grantRequest('waiting', {patienceLeftMs: 600}));
      harness.advance(575);
      const answer = harness.answers.get('waiting');
      expect(answer).toMatchObject({reason: QUEUE_REFUSAL.EXPIRED});
    });

    it('refuses only retries when the retry budget is spent', () => {
      const harness = new QueueHarness([upstream('u', 9)], 5);
      harness.submit(grantRequest('a', {isRetry: true}));
      harness.submit(grantRequest('b', {isRetry: true}));
      harness.submit(grantRequest('c', {isRetry: true}));
      harness.submit(grantRequest('d'));
      const {BUDGET_SPENT} = QUEUE_REFUSAL;
      expect(harness.answers.get('c')).toMatchObject({reason: BUDGET_SPENT});
      expect(harness.placementOf('d')).not.toBeNull();
    });
  });

  describe('the retry budget', () => {
    const budgetForTwo = (): QueueHarness => {
      const harness = new QueueHarness([upstream('u')], 5);
      harness.submit(grantRequest('running'));
      return harness;
    };

    it('is not used up by retries that are cancelled while they wait', () => {
      const harness = budgetForTwo();
      for (const id of ['a', 'b', 'c']) {
        harness.submit(grantRequest(id, {isRetry: true}));
        harness.queue.cancel(id);
      }
      expect(harness.answers.get('c')).toBeUndefined();
    });

    it('gets one share from a request that is asked for many times', () => {
      const harness = new QueueHarness([upstream('u', 99)], 100);
      harness.submit(grantRequest('a'));
      for (let i = 0; i < 10; i++) {
        harness.end('a', RUN_END.UNREACHABLE);
        harness.submit(grantRequest('a', {isAskedAgain: true}));
      }
      expect(harness.queue.retryBudget.counts.requestsCounted).toBe(1);
    });

    it('is not used up by retries that are refused an upstream', () => {
      const harness = budgetForTwo();
      const changes = {isRetry: true, requiredVersion: 'gone'};
      for (const id of ['a', 'b', 'c']) {
        harness.submit(grantRequest(id, changes));
        const {NO_VERSION} = QUEUE_REFUSAL;
        expect(harness.answers.get(id)).toMatchObject({reason: NO_VERSION});
      }
    });
  });

  describe('failing upstreams', () => {
    it('avoids an unreachable upstream until its backoff ends', () => {
      const harness = new QueueHarness([upstream('u', 5), upstream('v', 5)]);
      harness.submit(grantRequest('a'));
      const first = harness.placementOf('a')!.upstream.instanceId;
      harness.end('a', RUN_END.UNREACHABLE);
      harness.submit(grantRequest('b'));
      expect(harness.placementOf('b')!.upstream.instanceId).not.toBe(first);
      harness.advance(300);
      expect(harness.queue.upstreams.get(first)!.isUsable(harness.nowMs)).toBe(
        true,
      );
    });

    it('loses fewer than 12 of 400 requests to one that breaks connections', () => {
      const harness = new QueueHarness([
        upstream('breaking', 5),
        upstream('healthy', 5),
      ]);
      let lost = 0;
      for (let i = 0; i < 400; i++) {
        const id = `r${i}`;
        harness.submit(grantRequest(id, {isRepeatable: i % 2 === 0}));
        const placed = harness.placementOf(id)!.upstream.instanceId;
        if (placed === 'breaking') lost++;
        harness.end(
          id,
          placed === 'breaking' ? RUN_END.BROKEN : RUN_END.COMPLETED,
        );
        harness.advance(20);
      }
      expect(lost).toBeLessThan(12);
    });

    it('probes a failed upstream with repeatable requests first', () => {
      const harness = new QueueHarness([upstream('u'), upstream('v')]);
      harness.submit(grantRequest('a'));
      const failed = harness.placementOf('a')!.upstream.instanceId;
      harness.end('a', RUN_END.UNREACHABLE);
      harness.submit(grantRequest('busy'));
      harness.advance(300);
      harness.submit(grantRequest('once', {isRepeatable: false}));
      expect(harness.answers.has('once')).toBe(false);
      harness.submit(grantRequest('again'));
      expect(harness.placementOf('again')!.upstream.instanceId).toBe(failed);
      harness.end('again');
      expect(harness.placementOf('once')!.upstream.instanceId).toBe(failed);
    });

    it('avoids a stalled upstream until it responds', () => {
      const harness = new QueueHarness([upstream('u', 5)]);
      harness.submit(grantRequest('a'));
      harness.advance(1_000);
      harness.submit(grantRequest('b'));
      expect(harness.answers.has('b')).toBe(false);
      harness.queue.handleStartReport({
        requestId: 'a',
        startMs: 1_000,
        load: null,
      });
      harness.advance(25);
      expect(harness.placementOf('b')).not.toBeNull();
    });

    it('drops unconfirmed grants of an entry that still sends requests', () => {
      const harness = new QueueHarness([upstream('u', 2)]);
      harness.submit(grantRequest('lost-1'));
      harness.submit(grantRequest('lost-2'));
      for (let i = 0; i < 40; i++) {
        harness.advance(100);
        harness.submit(grantRequest(`w${i}`, {patienceLeftMs: 300}));
      }
      expect(harness.order.length).toBeGreaterThan(2);
    });

    it('keeps a long run while its entry reports it', () => {
      const harness = new QueueHarness([upstream('u')]);
      harness.submit(grantRequest('long'));
      harness.queue.handleStartReport({
        requestId: 'long',
        startMs: 10,
        load: null,
      });
      for (let i = 0; i < 40; i++) {
        harness.advance(100);
        harness.queue.reconcile(ENTRY, [{requestId: 'long', instanceId: 'u'}]);
      }
      harness.submit(grantRequest('next'));
      expect(harness.placementOf('next')).toBeNull();
    });

    it('places a retry on another upstream and waits while that is busy', () => {
      const harness = new QueueHarness([upstream('u'), upstream('v')]);
      harness.submit(grantRequest('a'));
      const first = harness.placementOf('a')!.upstream.instanceId;
      harness.submit(grantRequest('b'));
      harness.end('a', RUN_END.FAILED);
      harness.submit(grantRequest('a', {isRetry: true, excluded: [first]}));
      expect(harness.order).toEqual(['a', 'b']);
      harness.end('b');
      expect(harness.placementOf('a')!.upstream.instanceId).not.toBe(first);
    });

    it('avoids a zone where a connection broke if another has a free slot', () => {
      const harness = new QueueHarness([
        {...upstream('far-1', 5), zone: 'b'},
        {...upstream('far-2', 5), zone: 'b'},
        upstream('near', 1),
      ]);
      harness.submit(
        grantRequest('a', {avoidedZones: ['b'], excluded: ['far-1']}),
      );
      harness.submit(
        grantRequest('b', {avoidedZones: ['b'], excluded: ['far-1']}),
      );
      expect(harness.placementOf('a')!.upstream.instanceId).toBe('near');
      expect(harness.placementOf('b')!.upstream.instanceId).toBe('far-2');
    });

    it('prefers the upstream with the lower failure rate', () => {
      const harness = new QueueHarness([upstream('u', 9), upstream('v', 9)]);
      for (let i = 0; i < 8; i++) {
        harness.submit(grantRequest(`w${i}`));
        const used = harness.placementOf(`w${i}`)!.upstream.instanceId;
        harness.end(`w${i}`, used === 'u' ? RUN_END.FAILED : RUN_END.COMPLETED);
      }
      harness.submit(grantRequest('x'));
      expect(harness.placementOf('x')!.upstream.instanceId).toBe('v');
    });
  });

  describe('speed', () => {
    it('places a request with a short objective on the faster upstream', () => {
      const harness = new QueueHarness([upstream('slow'), upstream('fast')]);
      for (let i = 0; i < 6; i++) {
        harness.submit(grantRequest(`a${i}`));
        harness.submit(grantRequest(`b${i}`));
        for (const id of [`a${i}`, `b${i}`]) {
          const {instanceId} = harness.placementOf(id)!.upstream;
          const startMs = instanceId === 'slow' ? 1_000 : 100;
          harness.queue.handleStartReport({requestId: id, startMs, load: null});
          harness.end(id, RUN_END.COMPLETED, startMs);
        }
      }
      harness.submit(grantRequest('busy', {objectiveLeftMs: 300}));
      expect(harness.placementOf('busy')!.upstream.instanceId).toBe('fast');
    });
  });
});
