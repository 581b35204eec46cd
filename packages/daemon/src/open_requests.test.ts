import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {REQUEST_PHASE} from './constants.js';
import type {OpenRequest} from './open_requests.js';
import {OpenRequests} from './open_requests.js';
import {createOpenRequest} from './request_scope.js';

const ARRIVAL = fc.record({
  tier: fc.integer({min: 0, max: 3}),
  preemptible: fc.boolean(),
  phase: fc.constantFrom(...Object.values(REQUEST_PHASE)),
});

describe('OpenRequests', () => {
  it('never refuses a request while one of a lower tier can be shed', () => {
    fc.assert(
      fc.property(
        fc.array(ARRIVAL, {maxLength: 40}),
        fc.integer({min: 1, max: 6}),
        (arrivals, maxOpen) => {
          const open = new OpenRequests(() => maxOpen);
          let remaining: OpenRequest[] = [];
          for (const {tier, preemptible, phase} of arrivals) {
            const request = createOpenRequest(tier, preemptible);
            request.phase = phase;
            const isAdded = open.add(request);
            remaining = remaining.filter(item => item.abortReason === null);
            if (isAdded) remaining.push(request);
            const lower = remaining.filter(
              item =>
                item.tier > tier &&
                (item.preemptible || item.phase !== REQUEST_PHASE.RUNNING),
            );
            if (!isAdded) expect(lower).toEqual([]);
            expect(open.size).toBeLessThanOrEqual(maxOpen);
          }
        },
      ),
    );
  });

  it('sheds the lowest tier first, and waiting requests before running ones', () => {
    const open = new OpenRequests(() => 3);
    const [normal, low, running] = [2, 3, 3].map(tier => {
      const request = createOpenRequest(tier, true);
      open.add(request);
      return request;
    });
    running!.phase = REQUEST_PHASE.RUNNING;
    low!.phase = REQUEST_PHASE.WAITING;
    for (let i = 0; i < 2; i++) open.add(createOpenRequest(0, true));
    expect(low!.abortReason).toBe('entry_overloaded');
    expect(running!.abortReason).toBe('entry_overloaded');
    expect(normal!.abortReason).toBeNull();
  });

  it('sheds lower tiers to reserve the body bytes of a higher tier', () => {
    const open = new OpenRequests(
      () => 10,
      () => 100,
    );
    const [high, low, other] = [0, 3, 0].map(tier => {
      const request = createOpenRequest(tier, true);
      open.add(request);
      return request;
    });
    expect(open.reserveBodyBytes(low!, 80)).toBe(true);
    expect(open.reserveBodyBytes(high!, 90)).toBe(true);
    expect(low!.abortReason).toBe('entry_overloaded');
    expect(open.reserveBodyBytes(other!, 20)).toBe(false);
    open.remove(high!.requestId);
    expect(open.reserveBodyBytes(other!, 20)).toBe(true);
  });
});
