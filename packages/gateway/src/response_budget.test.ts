import {describe, expect, it} from 'vitest';
import type {BudgetShare} from './response_budget.js';
import {ResponseBudget} from './response_budget.js';

const BUDGET_BYTES = 1_000;

describe('ResponseBudget', () => {
  const create = (): {
    budget: ResponseBudget;
    open: (id: string) => BudgetShare;
    dropped: unknown[];
    aborted: string[];
  } => {
    const dropped: unknown[] = [];
    const aborted: string[] = [];
    const log = {
      debug: () => undefined,
      info: () => undefined,
      warn: (_event: string, fields = {}) => dropped.push(fields),
      error: () => undefined,
    };
    const budget = new ResponseBudget(BUDGET_BYTES, log, () => undefined);
    const open = (id: string): BudgetShare =>
      budget.open({
        requestId: id,
        upstreamId: `upstream-of-${id}`,
        abort: () => aborted.push(id),
      });
    return {budget, open, dropped, aborted};
  };

  it('gives up the largest response, also for the bytes of another', () => {
    const {budget, open, dropped, aborted} = create();
    const large = open('large');
    const small = open('small');
    large.resize(950);
    small.resize(100);
    expect(aborted).toEqual(['large']);
    expect([large.isDropped, small.isDropped]).toEqual([true, false]);
    expect(budget.usedBytes).toBe(100);
    expect(dropped).toEqual([
      {
        id: 'large',
        upstream: 'upstream-of-large',
        bytes: 950,
        heldBytes: 1_050,
        budgetBytes: BUDGET_BYTES,
      },
    ]);
  });

  it('keeps what is complete', () => {
    const {budget, open, aborted} = create();
    const complete = open('complete');
    complete.resize(900);
    complete.complete();
    open('growing').resize(200);
    expect(aborted).toEqual(['growing']);
    complete.release();
    expect(budget.usedBytes).toBe(0);
  });

  it('takes nothing from a response that was given up', () => {
    const {budget, open} = create();
    const share = open('one');
    share.resize(2_000);
    share.resize(500);
    share.release();
    expect(share.isDropped).toBe(true);
    expect(budget.usedBytes).toBe(0);
  });
});
