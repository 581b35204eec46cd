import {SYSTEM_CLOCK} from '@fescuespool/common';
import type {GrantRequest} from '@fescuespool/coordination';
import {
  Cell,
  CrashDetector,
  createPlacementPolicy,
  JoinableRunRegistry,
  PLACEMENT_POLICY,
  RELEASE_KIND,
} from '@fescuespool/coordination';

const ENGINE_COUNT = 13;
const SLOTS_PER_ENGINE = 8;
const GRANT_COUNT = 2_000;
const TIER_COUNT = 4;
const MICROS_PER_MS = 1_000;

/** Cost of scheduling in a cell at one length of its queue. */
export interface CellCost {
  /** Microseconds for a release, the next grant and a new request. */
  readonly microsPerGrant: number;
  /** Milliseconds for one deadline check of the whole queue. */
  readonly tickMs: number;
  /** Heap bytes for each waiting request. */
  readonly bytesPerWaiting: number;
}

function makeRequest(index: number): GrantRequest {
  const conversation = index % 64;
  return {
    requestId: `r${index}`,
    entryId: 'entry',
    service: 'chat',
    tier: index % TIER_COUNT,
    accountId: `account-${index % 8}`,
    weight: 1,
    promptTokens: 1_500,
    maxTokens: 100,
    prefixHashes: Array.from({length: 12}, (_, i) => `${conversation}-${i}`),
    remainingMs: 3_600_000,
    waitedMs: 0,
    fingerprint: `f${index}`,
    joinKey: null,
    preemptible: true,
    excluded: [],
  };
}

/**
 * Measures grants and releases in a cell whose queue stays at `waiting`
 * requests: each release is followed by a new request.
 */
export async function measureCellCost(waiting: number): Promise<CellCost> {
  const running: string[] = [];
  const cell = new Cell(
    {
      service: 'chat',
      clock: SYSTEM_CLOCK,
      policy: createPlacementPolicy(PLACEMENT_POLICY.PRICED),
      crashes: new CrashDetector(SYSTEM_CLOCK),
      joinableRuns: new JoinableRunRegistry(SYSTEM_CLOCK),
      maxWaiting: waiting + ENGINE_COUNT * SLOTS_PER_ENGINE + GRANT_COUNT,
      random: Math.random,
      preempt: () => undefined,
      onStale: () => undefined,
      requestVerification: () => undefined,
      replicate: ({request}) => running.push(request.requestId),
      cancelOrphan: () => undefined,
      countEvent: () => undefined,
    },
    [],
  );
  cell.setUpstreams(
    Array.from({length: ENGINE_COUNT}, (_, index) => ({
      id: `engine-${index}`,
      zone: 'zone-a',
      url: 'http://127.0.0.1:1',
      slots: SLOTS_PER_ENGINE,
      cacheTokens: 65_536,
      prefillTokensPerSecond: 4_000 + 500 * index,
      decodeTokensPerSecond: 40 + index,
      isModel: true,
      isLeaving: false,
    })),
  );
  let nextIndex = 0;
  const addRequest = (): void => {
    void cell.request(makeRequest(nextIndex++));
  };
  const heapBefore = process.memoryUsage().heapUsed;
  for (let i = 0; i < waiting + ENGINE_COUNT * SLOTS_PER_ENGINE; i++)
    addRequest();
  const heapAfter = process.memoryUsage().heapUsed;
  await Promise.resolve();
  const startedAt = performance.now();
  for (let i = 0; i < GRANT_COUNT; i++) {
    const requestId = running.shift();
    if (requestId === undefined) break;
    cell.release({
      requestId,
      service: 'chat',
      kind: RELEASE_KIND.COMPLETED,
      firstTokenMs: 300,
      decodeMs: 1_000,
      outputTokens: 50,
      computedPromptTokens: 300,
    });
    addRequest();
    // p-queue starts the next task in a microtask.
    await Promise.resolve();
  }
  const grantMs = performance.now() - startedAt;
  const tickStartedAt = performance.now();
  cell.checkDeadlines();
  const tickMs = performance.now() - tickStartedAt;
  cell.close();
  return {
    microsPerGrant: (grantMs * MICROS_PER_MS) / GRANT_COUNT,
    tickMs,
    bytesPerWaiting: Math.max(0, heapAfter - heapBefore) / (waiting + 1),
  };
}
