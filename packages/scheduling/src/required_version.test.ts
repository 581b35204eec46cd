import {beforeEach, describe, expect, it} from 'vitest';
import {PLACEMENT_WINDOW, QUEUE_REFUSAL, RUN_END} from './constants.js';
import {DispatchQueue} from './dispatch_queue.js';
import {RetryBudget} from './retry_budget.js';
import type {GrantRequest, QueueAnswer, UpstreamSpec} from './types.js';
import {UpstreamLimits} from './upstream_limits.js';
import {UpstreamRateLimiter} from './upstream_rate_limiter.js';

function upstream(
  instanceId: string,
  softwareVersion: string | null,
  changes: Partial<UpstreamSpec> = {},
): UpstreamSpec {
  return {
    instanceId,
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 1,
    isLeaving: false,
    startedAtUnixMs: 1,
    softwareVersion,
    ...changes,
  };
}

describe('a queue with requests that need a software version', () => {
  let nowMs: number;
  let queue: DispatchQueue;
  let answers: Map<string, QueueAnswer>;
  let order: string[];
  let count: number;

  beforeEach(() => {
    nowMs = 0;
    count = 0;
    order = [];
    answers = new Map();
    queue = new DispatchQueue({
      nowMs: () => nowMs,
      retryBudget: new RetryBudget({ratio: 0, extra: 500, windowMs: 10_000}),
      rateLimiter: new UpstreamRateLimiter(new UpstreamLimits()),
    });
  });

  const submit = (
    requiredVersion: string | null,
    changes: Partial<GrantRequest> = {},
  ): string => {
    const requestId = `r${count++}`;
    queue.submit(
      {
        requestId,
        entryId: 'entry',
        zone: 'a',
        tier: 1,
        fingerprint: requestId,
        promptTokens: 0,
        objectiveLeftMs: 1_000,
        patienceLeftMs: 4_000,
        isRepeatable: true,
        isRetry: false,
        excluded: [],
        avoidedZones: [],
        requiredVersion,
        ...changes,
      },
      answer => {
        answers.set(requestId, answer);
        if (answer.kind === 'placed') order.push(requestId);
      },
    );
    return requestId;
  };
  const end = (requestId: string): void =>
    queue.handleEndReport({
      requestId,
      end: RUN_END.COMPLETED,
      runMs: 100,
      eventGapMs: null,
      load: null,
    });
  const placeOf = (requestId: string): string | null => {
    const answer = answers.get(requestId);
    return answer?.kind === 'placed'
      ? answer.placement.upstream.instanceId
      : null;
  };
  const reasonOf = (requestId: string): string | null => {
    const answer = answers.get(requestId);
    return answer?.kind === 'refused' ? answer.reason : null;
  };

  it('places them only at that version, also when another is free', () => {
    queue.setUpstreams([upstream('old', 'v1'), upstream('new', 'v2')]);
    expect(placeOf(submit('v2'))).toBe('new');
    const waiting = submit('v2');
    expect(answers.has(waiting)).toBe(false);
    expect(placeOf(submit(null))).toBe('old');
    end('r0');
    expect(placeOf(waiting)).toBe('new');
  });

  it('never takes an unknown version for the needed one', () => {
    queue.setUpstreams([upstream('unknown', null)]);
    expect(reasonOf(submit('v1'))).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('refuses them at once if only leaving upstreams have that version', () => {
    const leaving = upstream('old', 'v1', {isLeaving: true});
    queue.setUpstreams([leaving, upstream('new', 'v2')]);
    expect(reasonOf(submit('v1'))).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('refuses those that wait when the last upstream of the version goes', () => {
    queue.setUpstreams([upstream('old', 'v1'), upstream('new', 'v2')]);
    submit('v1');
    const waiting = submit('v1');
    queue.setUpstreams([upstream('new', 'v2')]);
    queue.tick();
    expect(reasonOf(waiting)).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('goes on with a stream before it begins others of the same tier', () => {
    queue.setUpstreams([upstream('only', 'v1')]);
    submit(null);
    const begin = submit(null);
    const resume = submit('v1');
    const urgent = submit(null, {tier: 0});
    for (const id of ['r0', urgent, resume]) end(id);
    expect(order).toEqual(['r0', urgent, resume, begin]);
  });

  it('places others while many wait for a version that is busy', () => {
    queue.setUpstreams([
      upstream('old', 'v1'),
      upstream('new', 'v2', {slots: 2}),
    ]);
    const patient = {objectiveLeftMs: 1e6, patienceLeftMs: 1e6};
    for (let i = 0; i <= PLACEMENT_WINDOW + 1; i++) submit('v1', patient);
    expect(placeOf(submit(null))).toBe('new');
  });
});
