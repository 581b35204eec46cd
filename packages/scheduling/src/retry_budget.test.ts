import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryBudget} from './retry_budget.js';

const WINDOW_MS = 10_000;
const BOUNDS = {ratio: 0.2, extra: 56, windowMs: WINDOW_MS};

describe('RetryBudget', () => {
  it('keeps the limit over every sliding window', () => {
    const step = fc.record({
      gapMs: fc.integer({min: 0, max: 400}),
      isRetry: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 600}), steps => {
        const budget = new RetryBudget(BOUNDS);
        const taken: number[] = [];
        const requests: number[] = [];
        let now = 0;
        for (const {gapMs, isRetry} of steps) {
          now += gapMs;
          if (!isRetry) {
            budget.recordRequest();
            requests.push(now);
          } else if (budget.tryTake(now)) {
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

  it('refills over time without requests', () => {
    const budget = new RetryBudget(BOUNDS);
    while (budget.tryTake(0));
    expect(budget.tryTake(100)).toBe(false);
    expect(budget.tryTake(5_000)).toBe(true);
  });
});
