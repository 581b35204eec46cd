// Places four requests on two upstreams that have one slot each. The requests
// that wait are placed by tier as soon as a slot is free; tier 0 is the highest.
import {
  DispatchQueue,
  RetryBudget,
  UpstreamLimits,
  UpstreamRateLimiter,
} from '@fescuespool/scheduling';

const queue = new DispatchQueue({
  nowMs: () => performance.now(),
  retryBudget: new RetryBudget({ratio: 0.2, extra: 10, windowMs: 10_000}),
  rateLimiter: new UpstreamRateLimiter(new UpstreamLimits()),
});
queue.setUpstreams(
  ['fast', 'slow'].map(instanceId => ({
    instanceId,
    address: '127.0.0.1:80',
    zone: 'a',
    slots: 1,
    isLeaving: false,
    startedAtUnixMs: null,
    softwareVersion: null,
  })),
);
for (const [requestId, tier] of Object.entries({a: 1, b: 1, low: 2, high: 0})) {
  const item = {
    requestId,
    entryId: 'entry-1',
    zone: 'a',
    tier,
    fingerprint: requestId,
    promptTokens: 0,
    objectiveLeftMs: 500,
    patienceLeftMs: 2_000,
    isRepeatable: true,
    isRetry: false,
    excluded: [],
    avoidedZones: [],
    requiredVersion: null,
  };
  queue.submit(item, answer => console.log(requestId, answer.kind));
}
const completed = {end: 'completed', runMs: 100, eventGapMs: null, load: null};
// Frees a slot, which goes to `high` although `low` was submitted first.
queue.handleEndReport({requestId: 'a', ...completed});
queue.handleEndReport({requestId: 'b', ...completed});
