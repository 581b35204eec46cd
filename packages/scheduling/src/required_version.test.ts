import {describe, expect, it} from 'vitest';
import {PLACEMENT_WINDOW, QUEUE_REFUSAL} from './constants.js';
import {
  grantRequest,
  QueueHarness,
  upstream,
} from './test_support/queue_harness.js';
import type {GrantRequest, UpstreamSpec} from './types.js';

function versioned(
  id: string,
  softwareVersion: string | null,
  changes: Partial<UpstreamSpec> = {},
): UpstreamSpec {
  return upstream(id, 1, {softwareVersion, ...changes});
}

describe('a queue with requests that need a software version', () => {
  let harness: QueueHarness;
  let count = 0;

  const start = (...specs: UpstreamSpec[]): void => {
    harness = new QueueHarness(specs);
  };
  const submit = (
    requiredVersion: string | null,
    changes: Partial<GrantRequest> = {},
  ): string => {
    const id = `r${count++}`;
    harness.submit(grantRequest(id, {requiredVersion, ...changes}));
    return id;
  };

  it('places them only at that version, also when another is free', () => {
    start(versioned('old', 'v1'), versioned('new', 'v2'));
    const first = submit('v2');
    expect(harness.placeOf(first)).toBe('new');
    const waiting = submit('v2');
    expect(harness.answers.has(waiting)).toBe(false);
    expect(harness.placeOf(submit(null))).toBe('old');
    harness.end(first);
    expect(harness.placeOf(waiting)).toBe('new');
  });

  it('never takes an unknown version for the needed one', () => {
    start(versioned('unknown', null));
    expect(harness.refusalOf(submit('v1'))).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('refuses them at once if only leaving upstreams have that version', () => {
    const leaving = versioned('old', 'v1', {isLeaving: true});
    start(leaving, versioned('new', 'v2'));
    expect(harness.refusalOf(submit('v1'))).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('refuses those that wait when the last upstream of the version goes', () => {
    start(versioned('old', 'v1'), versioned('new', 'v2'));
    submit('v1');
    const waiting = submit('v1');
    harness.queue.setUpstreams([versioned('new', 'v2')]);
    harness.queue.tick();
    expect(harness.refusalOf(waiting)).toBe(QUEUE_REFUSAL.NO_VERSION);
  });

  it('goes on with a stream before it begins others of the same tier', () => {
    start(versioned('only', 'v1'));
    const first = submit(null);
    const begin = submit(null);
    const resume = submit('v1');
    const urgent = submit(null, {tier: 0});
    for (const id of [first, urgent, resume]) harness.end(id);
    expect(harness.order).toEqual([first, urgent, resume, begin]);
  });

  it('places others while many wait for a version that is busy', () => {
    start(versioned('old', 'v1'), versioned('new', 'v2', {slots: 2}));
    const patient = {objectiveLeftMs: 1e6, patienceLeftMs: 1e6};
    for (let i = 0; i <= PLACEMENT_WINDOW + 1; i++) submit('v1', patient);
    expect(harness.placeOf(submit(null))).toBe('new');
  });
});
