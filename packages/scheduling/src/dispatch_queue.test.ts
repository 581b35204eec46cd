import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {QUEUE_REFUSAL, RUN_END} from './constants.js';
import {DispatchQueue} from './dispatch_queue.js';
import {RetryBudget} from './retry_allowance.js';
import type {
  Placement,
  QueueAnswer,
  RunEnd,
  UpstreamSpec,
  WorkItem,
} from './types.js';

const ENTRY = 'entry-1';

function upstream(id: string, slots = 1): UpstreamSpec {
  return {
    instanceId: id,
    address: '10.0.0.1:80',
    zone: 'a',
    slots,
    isLeaving: false,
    startedAtUnixMs: 1,
  };
}

function work(id: string, changes: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: id,
    entryId: ENTRY,
    zone: 'a',
    tier: 1,
    fingerprint: id,
    promptTokens: 0,
    objectiveLeftMs: 1_000,
    patienceLeftMs: 4_000,
    isRepeatable: true,
    isRetry: false,
    excluded: [],
    avoidedZones: [],
    ...changes,
  };
}

/** A queue with a clock that tests move. */
class Bed {
  nowMs = 0;
  readonly answers = new Map<string, QueueAnswer>();
  readonly order: string[] = [];
  readonly queue: DispatchQueue;

  constructor(specs: UpstreamSpec[], extraRetries = 100) {
    const budget = {ratio: 0, extra: extraRetries, windowMs: 10_000};
    this.queue = new DispatchQueue({
      nowMs: () => this.nowMs,
      retries: new RetryBudget(budget),
    });
    this.queue.setUpstreams(specs);
  }

  submit(item: WorkItem): void {
    this.queue.submit(item, answer => {
      this.answers.set(item.requestId, answer);
      if (answer.kind === 'placed') this.order.push(item.requestId);
    });
  }

  end(requestId: string, end: RunEnd = RUN_END.COMPLETED, runMs = 100): void {
    const report = {requestId, end, runMs, eventGapMs: null, load: null};
    this.queue.handleEndReport(report);
  }

  advance(ms: number): void {
    this.nowMs += ms;
    this.queue.tick();
  }

  placementOf(id: string): Placement | null {
    const answer = this.answers.get(id);
    return answer?.kind === 'placed' ? answer.placement : null;
  }
}

describe('DispatchQueue', () => {
  describe('order', () => {
    it('places the highest tier first when a slot gets free', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      bed.submit(work('low', {tier: 12}));
      bed.submit(work('high', {tier: 10}));
      bed.end('running');
      bed.end('high');
      expect(bed.order).toEqual(['running', 'high', 'low']);
    });

    it('places a late request of a higher tier before a lower tier', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      bed.submit(work('late', {tier: 10, objectiveLeftMs: 1}));
      bed.submit(work('low', {tier: 12}));
      bed.advance(50);
      bed.end('running');
      expect(bed.order).toEqual(['running', 'late']);
    });

    it('prefers what can be in time to what is late in the same tier', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      bed.submit(work('late', {objectiveLeftMs: 10}));
      bed.submit(work('timely'));
      bed.advance(200);
      bed.end('running');
      expect(bed.order).toEqual(['running', 'timely']);
    });

    it('prefers a caller that comes back to others that are late', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      bed.submit(work('first', {fingerprint: 'f', patienceLeftMs: 500}));
      bed.advance(450);
      expect(bed.answers.get('first')?.kind).toBe('refused');
      bed.submit(work('timely'));
      bed.submit(work('late', {objectiveLeftMs: 0}));
      bed.submit(work('again', {fingerprint: 'f'}));
      for (const id of ['running', 'timely', 'again']) bed.end(id);
      expect(bed.order).toEqual(['running', 'timely', 'again', 'late']);
    });
  });

  describe('slots', () => {
    it('never grants more than the slots of any load', () => {
      fc.assert(
        fc.property(
          fc.array(fc.tuple(fc.nat(2), fc.nat(40)), {maxLength: 60}),
          steps => {
            const bed = new Bed([upstream('u', 2), upstream('v', 3)]);
            steps.forEach(([tier, endOf], i) => {
              bed.submit(work(`r${i}`, {tier}));
              bed.end(`r${endOf}`);
              for (const state of bed.queue.upstreams.values()) {
                expect(state.runs.size).toBeLessThanOrEqual(state.spec.slots);
              }
            });
          },
        ),
        {seed: 20261204, numRuns: 200},
      );
    });

    it('does not use a leaving upstream', () => {
      const bed = new Bed([{...upstream('u'), isLeaving: true}, upstream('v')]);
      bed.submit(work('a'));
      expect(bed.placementOf('a')?.upstream.instanceId).toBe('v');
    });

    it('leaves room for what others run, as the upstream tells', () => {
      const bed = new Bed([upstream('u', 4)]);
      bed.submit(work('a'));
      const load = {running: 4, waiting: 1};
      bed.queue.handleStartReport({requestId: 'a', startMs: 10, load});
      bed.submit(work('b'));
      expect(bed.answers.has('b')).toBe(false);
    });

    it('drops runs that their entry does not report any more', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('lost'));
      bed.submit(work('next'));
      bed.advance(500);
      bed.queue.reconcile(ENTRY, []);
      expect(bed.order).toEqual(['lost', 'next']);
    });

    it('frees the slots of a lost entry once its runs must have ended', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('lost', {entryId: 'other'}));
      bed.submit(work('next'));
      bed.queue.markEntryUnresponsive('other');
      bed.advance(100);
      expect(bed.order).toEqual(['lost']);
      bed.advance(500);
      expect(bed.order).toEqual(['lost', 'next']);
    });

    it('takes over what an entry reports from an earlier dispatcher', () => {
      const bed = new Bed([upstream('u')]);
      bed.queue.reconcile(ENTRY, [{requestId: 'old', instanceId: 'u'}]);
      bed.submit(work('new'));
      expect(bed.answers.has('new')).toBe(false);
      bed.end('old');
      expect(bed.order).toEqual(['new']);
    });
  });

  describe('refusals', () => {
    it('refuses at once what would wait longer than its caller', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      for (let i = 0; i < 20; i++) bed.submit(work(`r${i}`));
      const refused = [...bed.answers.values()].filter(
        answer => answer.kind === 'refused',
      );
      expect(refused.length).toBeGreaterThan(0);
      expect(bed.nowMs).toBe(0);
    });

    it('answers before the caller stops waiting, and not at that moment', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('running'));
      bed.submit(work('waiting', {patienceLeftMs: 600}));
      bed.advance(575);
      const answer = bed.answers.get('waiting');
      expect(answer).toMatchObject({reason: QUEUE_REFUSAL.EXPIRED});
    });

    it('stops retries when their budget is spent, and nothing else', () => {
      const bed = new Bed([upstream('u', 9)], 5);
      bed.submit(work('a', {isRetry: true}));
      bed.submit(work('b', {isRetry: true}));
      bed.submit(work('c', {isRetry: true}));
      bed.submit(work('d'));
      const {BUDGET_SPENT} = QUEUE_REFUSAL;
      expect(bed.answers.get('c')).toMatchObject({reason: BUDGET_SPENT});
      expect(bed.placementOf('d')).not.toBeNull();
    });
  });

  describe('failing upstreams', () => {
    it('passes over one that can not be reached, and tries it again', () => {
      const bed = new Bed([upstream('u', 5), upstream('v', 5)]);
      bed.submit(work('a'));
      const first = bed.placementOf('a')!.upstream.instanceId;
      bed.end('a', RUN_END.UNREACHABLE);
      bed.submit(work('b'));
      expect(bed.placementOf('b')!.upstream.instanceId).not.toBe(first);
      bed.advance(300);
      expect(bed.queue.upstreams.get(first)!.isUsable(bed.nowMs)).toBe(true);
    });

    it('loses few requests to one that breaks each connection', () => {
      const bed = new Bed([upstream('hole', 5), upstream('sound', 5)]);
      let lost = 0;
      for (let i = 0; i < 400; i++) {
        const id = `r${i}`;
        bed.submit(work(id, {isRepeatable: i % 2 === 0}));
        const placed = bed.placementOf(id)!.upstream.instanceId;
        if (placed === 'hole') lost++;
        bed.end(id, placed === 'hole' ? RUN_END.BROKEN : RUN_END.COMPLETED);
        bed.advance(20);
      }
      expect(lost).toBeLessThan(12);
    });

    it('tries one that failed with requests that may be repeated', () => {
      const bed = new Bed([upstream('u'), upstream('v')]);
      bed.submit(work('a'));
      const failed = bed.placementOf('a')!.upstream.instanceId;
      bed.end('a', RUN_END.UNREACHABLE);
      bed.submit(work('busy'));
      bed.advance(300);
      bed.submit(work('once', {isRepeatable: false}));
      expect(bed.answers.has('once')).toBe(false);
      bed.submit(work('again'));
      expect(bed.placementOf('again')!.upstream.instanceId).toBe(failed);
      bed.end('again');
      expect(bed.placementOf('once')!.upstream.instanceId).toBe(failed);
    });

    it('passes over one that stalls before any answer came', () => {
      const bed = new Bed([upstream('u', 5)]);
      bed.submit(work('a'));
      bed.advance(1_000);
      bed.submit(work('b'));
      expect(bed.answers.has('b')).toBe(false);
      bed.queue.handleStartReport({requestId: 'a', startMs: 1_000, load: null});
      bed.advance(25);
      expect(bed.placementOf('b')).not.toBeNull();
    });

    it('gets free of grants whose answers were lost, though entries are heard', () => {
      const bed = new Bed([upstream('u', 2)]);
      bed.submit(work('lost-1'));
      bed.submit(work('lost-2'));
      for (let i = 0; i < 40; i++) {
        bed.advance(100);
        bed.submit(work(`w${i}`, {patienceLeftMs: 300}));
      }
      expect(bed.order.length).toBeGreaterThan(2);
    });

    it('keeps a long run that its entry names', () => {
      const bed = new Bed([upstream('u')]);
      bed.submit(work('long'));
      bed.queue.handleStartReport({requestId: 'long', startMs: 10, load: null});
      for (let i = 0; i < 40; i++) {
        bed.advance(100);
        bed.queue.reconcile(ENTRY, [{requestId: 'long', instanceId: 'u'}]);
      }
      bed.submit(work('next'));
      expect(bed.placementOf('next')).toBeNull();
    });

    it('sends a retry elsewhere, and waits where the other is busy', () => {
      const bed = new Bed([upstream('u'), upstream('v')]);
      bed.submit(work('a'));
      const first = bed.placementOf('a')!.upstream.instanceId;
      bed.submit(work('b'));
      bed.end('a', RUN_END.FAILED);
      bed.submit(work('a', {isRetry: true, excluded: [first]}));
      expect(bed.order).toEqual(['a', 'b']);
      bed.end('b');
      expect(bed.placementOf('a')!.upstream.instanceId).not.toBe(first);
    });

    it('avoids the zone where a connection broke, if another has room', () => {
      const bed = new Bed([
        {...upstream('far-1', 5), zone: 'b'},
        {...upstream('far-2', 5), zone: 'b'},
        upstream('near', 1),
      ]);
      bed.submit(work('a', {avoidedZones: ['b'], excluded: ['far-1']}));
      bed.submit(work('b', {avoidedZones: ['b'], excluded: ['far-1']}));
      expect(bed.placementOf('a')!.upstream.instanceId).toBe('near');
      expect(bed.placementOf('b')!.upstream.instanceId).toBe('far-2');
    });

    it('prefers upstreams that failed less, without giving up the rest', () => {
      const bed = new Bed([upstream('u', 9), upstream('v', 9)]);
      for (let i = 0; i < 8; i++) {
        bed.submit(work(`w${i}`));
        const used = bed.placementOf(`w${i}`)!.upstream.instanceId;
        bed.end(`w${i}`, used === 'u' ? RUN_END.FAILED : RUN_END.COMPLETED);
      }
      bed.submit(work('x'));
      expect(bed.placementOf('x')!.upstream.instanceId).toBe('v');
    });
  });

  describe('speed', () => {
    it('learns which upstream is slow, and waits for the fast one', () => {
      const bed = new Bed([upstream('slow'), upstream('fast')]);
      for (let i = 0; i < 6; i++) {
        bed.submit(work(`a${i}`));
        bed.submit(work(`b${i}`));
        for (const id of [`a${i}`, `b${i}`]) {
          const {instanceId} = bed.placementOf(id)!.upstream;
          const startMs = instanceId === 'slow' ? 1_000 : 100;
          bed.queue.handleStartReport({requestId: id, startMs, load: null});
          bed.end(id, RUN_END.COMPLETED, startMs);
        }
      }
      bed.submit(work('busy', {objectiveLeftMs: 300}));
      expect(bed.placementOf('busy')!.upstream.instanceId).toBe('fast');
    });
  });
});
