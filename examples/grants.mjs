// A cell schedules three requests on an upstream with one slot: the critical
// request (tier 0) is granted before a normal one that has waited longer.
import {SYSTEM_CLOCK} from '@fescuespool/common';
import {
  Cell,
  CrashDetector,
  createPlacementPolicy,
  PLACEMENT_POLICY,
  RELEASE_KIND,
  JoinableRunRegistry,
} from '@fescuespool/coordination';

const cell = new Cell(
  {
    service: 'assist',
    clock: SYSTEM_CLOCK,
    policy: createPlacementPolicy(PLACEMENT_POLICY.PRICED),
    crashes: new CrashDetector(SYSTEM_CLOCK),
    joinableRuns: new JoinableRunRegistry(SYSTEM_CLOCK),
    maxWaiting: 100,
    random: Math.random,
    preempt: run => release(run.request.requestId),
    onStale: () => undefined,
    // No other entry reports runs here, so the verification ends at once.
    requestVerification: () => cell.handleRunsVerified(),
    replicate: () => undefined,
    cancelOrphan: () => undefined,
    countEvent: event => console.log('counted', event),
  },
  [],
);
// Reports the end of a run, which frees its slot.
const release = requestId =>
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
// Requests a slot and holds it for 50 ms once it is granted.
const runRequest = async (requestId, tier) => {
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
  setTimeout(() => release(requestId), 50);
};
await Promise.all([
  runRequest('first', 1),
  runRequest('second', 1),
  runRequest('critical', 0),
]);
// Closes the cell after the last run has been released.
setTimeout(() => cell.close(), 100);
