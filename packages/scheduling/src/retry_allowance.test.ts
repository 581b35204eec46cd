import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryBudget} from './retry_allowance.js';

const WINDOW_MS = 10_000;
const BOUNDS = {ratio: 0.2, extra: 56, windowMs: WINDOW_MS};

describe('RetryAllowance', () => {
  it('keeps the bound over every sliding window', () => {
    const step = fc.record({
      gapMs: fc.integer({min: 0, max: 400}),
      isRetry: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 600}), steps => {
        const allowance = new RetryBudget(BOUNDS);
        const taken: number[] = [];
        const requests: number[] = [];
        let now = 0;
        for (const {gapMs, isRetry} of steps) {
          now += gapMs;
          if (!isRetry) {
            allowance.recordRequest();
            requests.push(now);
          } else if (allowance.tryTake(now)) {
            taken.push(now);
          }
        }
        for (const from of taken) {
          const inside = (at: number): boolean =>
            at >= from && at <= from + WINDOW_MS;
          const allowed =
            BOUNDS.ratio * requests.filter(inside).length + BOUNDS.extra;
          expect(taken.filter(inside).length).toBeLessThanOrEqual(allowed);
        }
      }),
      {seed: 20261204, numRuns: 100},
    );
  });

  it('comes back while nobody asks', () => {
    const allowance = new RetryBudget(BOUNDS);
    while (allowance.tryTake(0));
    expect(allowance.tryTake(100)).toBe(false);
    expect(allowance.tryTake(5_000)).toBe(true);
  });
});
