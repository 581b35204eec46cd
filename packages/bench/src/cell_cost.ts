import {SYSTEM_CLOCK} from '@fescuespool/common';
import type {GrantRequest} from '@fescuespool/coordination';
import {
  Cell,
  createPlacementPolicy,
  PLACEMENT_POLICY,
  PoisonRegistry,
  RELEASE_KIND,
  JoinableRunRegistry,
} from '@fescuespool/coordination';

const ENGINES = 13;
const SLOTS = 8;
const GRANTS = 2_000;
const TIERS = 4;
const MICROS_PER_MS = 1_000;

/** Cost of a cell at one length of its queue. */
export interface CellCost {
  readonly microsPerGrant: number;
  /** Milliseconds in which the queue is checked for deadlines once. */
  readonly tickMs: number;
  readonly bytesPerWaiting: number;
}

function makeRequest(number: number): GrantRequest {
  const conversation = number % 64;
  return {
    requestId: `r${number}`,
    entryId: 'entry',
    service: 'chat',
    tier: number % TIERS,
    accountId: `account-${number % 8}`,
    weight: 1,
    promptTokens: 1_500,
    maxTokens: 100,
    prefixHashes: Array.from({length: 12}, (_, i) => `${conversation}-${i}`),
    remainingMs: 3_600_000,
    waitedMs: 0,
    fingerprint: `f${number}`,
    joinKey: null,
    preemptible: true,
    excluded: [],
  };
}

/** Measures grants and releases while a number of requests wait. */
export async function measureCellCost(waiting: number): Promise<CellCost> {
  const running: string[] = [];
  const cell = new Cell(
    {
      service: 'chat',
      clock: SYSTEM_CLOCK,
      policy: createPlacementPolicy(PLACEMENT_POLICY.PRICED),
      poison: new PoisonRegistry(SYSTEM_CLOCK),
      joinableRuns: new JoinableRunRegistry(SYSTEM_CLOCK),
      maxWaiting: waiting + ENGINES * SLOTS + GRANTS,
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
    Array.from({length: ENGINES}, (_, index) => ({
      id: `engine-${index}`,
      zone: 'zone-a',
      url: 'http://127.0.0.1:1',
      slots: SLOTS,
      cacheTokens: 65_536,
      prefillTokensPerSecond: 4_000 + 500 * index,
      decodeTokensPerSecond: 40 + index,
      isModel: true,
      isLeaving: false,
    })),
  );
  let number = 0;
  const add = (): void => {
    void cell.request(makeRequest(number++));
  };
  const heapBefore = process.memoryUsage().heapUsed;
  for (let i = 0; i < waiting + ENGINES * SLOTS; i++) add();
  const heapAfter = process.memoryUsage().heapUsed;
  await Promise.resolve();
  const startedAt = performance.now();
  for (let i = 0; i < GRANTS; i++) {
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
    add();
    // p-queue looks for the next task in a microtask.
    await Promise.resolve();
  }
  const grantMs = performance.now() - startedAt;
  const tickStartedAt = performance.now();
  cell.checkDeadlines();
  const tickMs = performance.now() - tickStartedAt;
  cell.close();
  return {
    microsPerGrant: (grantMs * MICROS_PER_MS) / GRANTS,
    tickMs,
    bytesPerWaiting: Math.max(0, heapAfter - heapBefore) / (waiting + 1),
  };
}
