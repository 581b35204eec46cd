import {sleep, SYSTEM_CLOCK} from '@fescuespool/common';
import fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';
import {Cell} from './cell.js';
import type {CellOptions} from './cell_options.js';
import {
  DEATH_EPISODE_MS,
  DEATH_SETTLE_MS,
  GRANT_KIND,
  PLACEMENT_POLICY,
  RELEASE_KIND,
} from './constants.js';
import {JoinableRunRegistry} from './joinable_run_registry.js';
import {CrashDetector} from './crash_detector.js';
import {createPlacementPolicy} from './placement.js';
import type {
  GrantAnswer,
  GrantRequest,
  ReleaseKind,
  UpstreamSpec,
} from './types.js';
import type {ActiveRun} from './upstream_state.js';

const UPSTREAM: UpstreamSpec = {
  id: 'engine',
  zone: 'a',
  url: 'http://127.0.0.1:1',
  slots: 2,
  cacheTokens: 4_096,
  prefillTokensPerSecond: 5_000,
  decodeTokensPerSecond: 50,
  isModel: true,
  isLeaving: false,
};

let nextRequestNumber = 0;

function makeRequest(overrides: Partial<GrantRequest> = {}): GrantRequest {
  return {
    requestId: `r${++nextRequestNumber}`,
    entryId: 'entry',
    service: 'chat',
    tier: 1,
    accountId: 'a',
    weight: 1,
    promptTokens: 100,
    maxTokens: 10,
    prefixHashes: [],
    remainingMs: 60_000,
    waitedMs: 0,
    fingerprint: `f${nextRequestNumber}`,
    joinKey: null,
    preemptible: true,
    excluded: [],
    ...overrides,
  };
}

/** Seed of the property tests; change it to explore other inputs. */
const SEED = 20_261_204;

describe('Cell', () => {
  const openCells: Cell[] = [];
  const preempted: ActiveRun[] = [];

  const makeCell = (
    maxWaiting = 100,
    specs = [UPSTREAM],
    overrides: Partial<CellOptions> = {},
  ): Cell => {
    const cell: Cell = new Cell(
      {
        service: 'chat',
        clock: SYSTEM_CLOCK,
        policy: createPlacementPolicy(PLACEMENT_POLICY.PRICED),
        crashes: new CrashDetector(SYSTEM_CLOCK),
        joinableRuns: new JoinableRunRegistry(SYSTEM_CLOCK),
        maxWaiting,
        random: () => 0.5,
        preempt: run => {
          preempted.push(run);
          end(cell, run.request.requestId);
        },
        replicate: () => undefined,
        onStale: () => undefined,
        requestVerification: () => cell.handleRunsVerified(),
        cancelOrphan: () => undefined,
        countEvent: () => undefined,
        ...overrides,
      },
      [],
    );
    cell.setUpstreams(specs);
    openCells.push(cell);
    return cell;
  };
  const end = (cell: Cell, requestId: string): void =>
    release(cell, requestId, RELEASE_KIND.CANCELLED);
  const complete = (cell: Cell, requestId: string): void =>
    release(cell, requestId, RELEASE_KIND.COMPLETED);
  const release = (cell: Cell, requestId: string, kind: ReleaseKind): void =>
    cell.release({
      requestId,
      service: 'chat',
      kind,
      firstTokenMs: null,
      decodeMs: null,
      outputTokens: 0,
      computedPromptTokens: null,
    });

  afterEach(() => {
    for (const cell of openCells.splice(0)) cell.close();
    preempted.splice(0);
  });

  describe('requests of which one prefix block crashes upstreams', () => {
    const specs = ['e1', 'e2', 'e3', 'e4'].map(id => ({...UPSTREAM, id}));
    const prompt = (...prefixHashes: string[]): GrantRequest =>
      makeRequest({prefixHashes});
    const crashOne = async (cell: Cell): Promise<void> => {
      const {requestId} = await grantTo(cell, prompt('first', 'first+bad'));
      release(cell, requestId, RELEASE_KIND.UPSTREAM_DIED);
      await sleep(DEATH_EPISODE_MS + 20);
    };
    const grantTo = async (
      cell: Cell,
      request: GrantRequest,
    ): Promise<GrantRequest> => {
      const answer = await cell.request(request);
      expect(answer.kind).toBe(GRANT_KIND.GRANTED);
      return request;
    };

    it('are refused after three deaths, sound ones with the same start are not', async () => {
      const cell = makeCell(100, specs);
      for (let i = 0; i < 3; i++) await crashOne(cell);
      await sleep(DEATH_SETTLE_MS);
      const answer = await cell.request(prompt('first', 'first+bad', 'own'));
      expect(answer).toMatchObject({reason: 'poison_suspected'});
      await grantTo(cell, prompt('first', 'first+sound'));
    });

    it('are refused while they wait for a slot', async () => {
      const cell = makeCell(100, specs);
      for (let i = 0; i < 3; i++) await crashOne(cell);
      for (let i = 0; i < 2; i++) await grantTo(cell, prompt('other'));
      const waiting = cell.request(prompt('first', 'first+bad', 'own'));
      await sleep(DEATH_SETTLE_MS);
      cell.checkDeadlines();
      expect(await waiting).toMatchObject({reason: 'poison_suspected'});
    });

    it('are served if responses to other requests with the block go on', async () => {
      const cell = makeCell(100, specs);
      for (let i = 0; i < 2; i++) await crashOne(cell);
      const sound = await grantTo(cell, prompt('first', 'first+bad'));
      complete(cell, sound.requestId);
      await crashOne(cell);
      await sleep(DEATH_SETTLE_MS);
      await grantTo(cell, prompt('first', 'first+bad'));
    });
  });

  describe('grants', () => {
    it('grants no more requests than the upstream has slots', async () => {
      const cell = makeCell();
      const answers: GrantAnswer[] = [];
      for (let i = 0; i < 6; i++) {
        void cell.request(makeRequest()).then(answer => answers.push(answer));
      }
      await sleep(20);
      expect(answers.length).toBe(2);
      expect(cell.waitingCount).toBe(4);
    });

    it('grants the upstream that has the prompt prefix cached', async () => {
      const prefixHashes = ['a', 'b', 'c', 'd'];
      const other = {...UPSTREAM, id: 'other', prefillTokensPerSecond: 4_900};
      const cell = makeCell(100, [UPSTREAM, other]);
      const request = {prefixHashes, promptTokens: 600};
      const first = await cell.request(makeRequest(request));
      const second = await cell.request(makeRequest(request));
      expect(second).toEqual(first);
    });

    it('runs two waiting requests with one join key only once', async () => {
      const cell = makeCell(100, [{...UPSTREAM, slots: 1}]);
      const blocker = makeRequest();
      await cell.request(blocker);
      const joinKey = 'key';
      const first = makeRequest({joinKey});
      const answers = [first, makeRequest({joinKey})].map(r => cell.request(r));
      end(cell, blocker.requestId);
      expect((await answers[0])?.kind).toBe(GRANT_KIND.GRANTED);
      complete(cell, first.requestId);
      expect(await answers[1]).toMatchObject({
        kind: GRANT_KIND.JOINED,
        runningRequestId: first.requestId,
      });
      expect(cell.runningCount).toBe(0);
    });

    it('grants nothing on a leaving upstream', async () => {
      const cell = makeCell(100, [{...UPSTREAM, isLeaving: true}]);
      let isAnswered = false;
      void cell.request(makeRequest()).then(() => (isAnswered = true));
      await sleep(120);
      expect(isAnswered).toBe(false);
    });
  });

  describe('fair queueing', () => {
    it('serves a small client account during the burst of another', async () => {
      const cell = makeCell(1_000, [{...UPSTREAM, slots: 1}]);
      const order: string[] = [];
      const sendRequest = (accountId: string): void => {
        const request = makeRequest({accountId});
        void cell.request(request).then(answer => {
          if (answer.kind !== GRANT_KIND.GRANTED) return;
          order.push(accountId);
          end(cell, request.requestId);
        });
      };
      const blocker = makeRequest();
      await cell.request(blocker);
      for (let i = 0; i < 20; i++) sendRequest('burst');
      for (let i = 0; i < 3; i++) sendRequest('small');
      end(cell, blocker.requestId);
      await sleep(100);
      expect(order.length).toBe(23);
      expect(order.lastIndexOf('small')).toBeLessThan(8);
    });
  });

  describe('tiers', () => {
    it('preempts the lowest tier for an urgent request of a higher tier', async () => {
      const cell = makeCell();
      await cell.request(makeRequest({tier: 2}));
      await cell.request(makeRequest({tier: 3}));
      const urgent = makeRequest({tier: 0, remainingMs: 500});
      const answer = await cell.request(urgent);
      expect(answer.kind).toBe(GRANT_KIND.GRANTED);
      expect(preempted.map(run => run.request.tier)).toEqual([3]);
    });

    it('does not preempt runs that are not preemptible', async () => {
      const cell = makeCell();
      await cell.request(makeRequest({tier: 3, preemptible: false}));
      await cell.request(makeRequest({tier: 3, preemptible: false}));
      void cell.request(makeRequest({tier: 0, remainingMs: 300}));
      await sleep(100);
      expect(preempted).toEqual([]);
    });

    it('sheds no request while a lower tier could be shed instead', async () => {
      const arrival = fc.record({
        tier: fc.integer({min: 0, max: 3}),
        remainingMs: fc.constantFrom(30, 80, 60_000),
        endsOne: fc.boolean(),
      });
      await fc.assert(
        fc.asyncProperty(
          fc.array(arrival, {minLength: 4, maxLength: 24}),
          async arrivals => {
            const violations: string[] = [];
            const running = new Map<string, GrantRequest>();
            const waiting = new Map<string, GrantRequest>();
            const cell = makeCell(3, [UPSTREAM], {
              replicate: ({request}) => {
                waiting.delete(request.requestId);
                running.set(request.requestId, request);
              },
              countEvent: (event, shed) => {
                waiting.delete(shed.requestId);
                if (event === 'preempted') running.delete(shed.requestId);
                // A waiting lower-tier request takes no slot from an expired
                // one; in a full queue it does take a place from another.
                const isQueueFull = event === 'queue_full';
                const holders = [
                  ...running.values(),
                  ...(isQueueFull ? waiting.values() : []),
                ];
                for (const {tier} of holders) {
                  if (tier <= shed.tier) continue;
                  violations.push(
                    `${event}: tier ${shed.tier} shed before tier ${tier}`,
                  );
                }
              },
            });
            for (const {tier, remainingMs, endsOne} of arrivals) {
              const request = makeRequest({tier, remainingMs});
              waiting.set(request.requestId, request);
              void cell.request(request);
              const [first] = running.keys();
              if (endsOne && first) {
                running.delete(first);
                end(cell, first);
              }
              await Promise.resolve();
            }
            await sleep(60);
            cell.close();
            expect(violations).toEqual([]);
          },
        ),
        {numRuns: 60, seed: SEED},
      );
    });
  });

  describe('hand-over', () => {
    it('answers waiting requests as moved when the cell closes', async () => {
      const cell = makeCell();
      for (let i = 0; i < 2; i++) await cell.request(makeRequest());
      const waiting = cell.request(makeRequest());
      cell.close();
      expect((await waiting).kind).toBe(GRANT_KIND.MOVED);
    });

    it('keeps the slots of registered runs occupied until they end', async () => {
      const cell = makeCell();
      const runs = [makeRequest(), makeRequest()];
      cell.register(
        'entry',
        runs.map(request => ({request, upstreamId: 'engine'})),
      );
      let isAnswered = false;
      void cell.request(makeRequest()).then(() => (isAnswered = true));
      await sleep(20);
      expect(isAnswered).toBe(false);
      end(cell, runs[0]!.requestId);
      await sleep(20);
      expect(isAnswered).toBe(true);
    });
  });
});
