// A cell grants one slot by tier: the critical request overtakes the rest.
import {SYSTEM_CLOCK} from '@fescuespool/common';
import {
  Cell,
  createPlacementPolicy,
  PLACEMENT_POLICY,
  PoisonRegistry,
  RELEASE_KIND,
  RunRegistry,
} from '@fescuespool/coordination';

const cell = new Cell(
  {
    service: 'assist',
    clock: SYSTEM_CLOCK,
    policy: createPlacementPolicy(PLACEMENT_POLICY.PRICED),
    poison: new PoisonRegistry(SYSTEM_CLOCK),
    registry: new RunRegistry(SYSTEM_CLOCK),
    maxWaiting: 100,
    random: Math.random,
    preempt: run => end(run.request.requestId),
    onStale: () => undefined,
    verify: () => cell.verified(),
    replicate: () => undefined,
    cancelOrphan: () => undefined,
    count: event => console.log('counted', event),
  },
  [],
);
const end = requestId =>
  cell.release({
    requestId,
    service: 'assist',
    kind: RELEASE_KIND.COMPLETED,
    firstTokenMs: 80,
    decodeMs: 400,
    outputTokens: 20,
    computedPromptTokens: 200,
  });
cell.setUpstreams([
  {
    id: 'engine-1',
    zone: 'zone-a',
    url: 'http://127.0.0.1:8000',
    slots: 1,
    cacheTokens: 16_384,
    prefillTokensPerSecond: 5_000,
    decodeTokensPerSecond: 50,
    isModel: true,
    isLeaving: false,
  },
]);
const ask = async (requestId, tier) => {
  const answer = await cell.request({
    requestId,
    entryId: 'entry-1',
    service: 'assist',
    tier,
    accountId: 'customs',
    weight: 1,
    promptTokens: 200,
    maxTokens: 40,
    prefixHashes: [],
    remainingMs: 20_000,
    waitedMs: 0,
    fingerprint: requestId,
    joinKey: null,
    preemptible: true,
    excluded: [],
  });
  console.log(requestId, answer.kind, answer.upstreamId ?? answer.reason);
  setTimeout(() => end(requestId), 50);
};
await Promise.all([ask('first', 1), ask('second', 1), ask('critical', 0)]);
setTimeout(() => cell.close(), 100);
