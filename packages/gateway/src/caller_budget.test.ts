import {SYSTEM_CLOCK} from '@fescuespool/common';
import {describe, expect, it} from 'vitest';
import type {BudgetShare, Holding} from './caller_budget.js';
import {CallerBudget, chooseDropped} from './caller_budget.js';
import {createGatewayMetrics} from './gateway_metrics.js';

const BUDGET_BYTES = 1_000;

describe('CallerBudget', () => {
  const create = (): {
    budget: CallerBudget;
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
    const budget = new CallerBudget(
      BUDGET_BYTES,
      SYSTEM_CLOCK,
      log,
      createGatewayMetrics(),
    );
    const open = (id: string): BudgetShare =>
      budget.openResponse({
        requestId: id,
        upstreamId: `upstream-of-${id}`,
        abort: () => aborted.push(id),
      });
    return {budget, open, dropped, aborted};
  };
  const openBody = (budget: CallerBudget, abort: () => void): BudgetShare =>
    budget.openBody({requestId: 'body', owner: '', abort});

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

  it('gives up no response for heads', () => {
    const {budget, open, aborted} = create();
    open('large').resize(950);
    budget.heads.charge(200);
    expect(aborted).toEqual([]);
    expect(budget.usedBytes).toBe(950);
  });

  it('gives up bodies that hold more than their half for heads', () => {
    const {budget} = create();
    const aborted: number[] = [];
    for (const bytes of [450, 400]) {
      openBody(budget, () => aborted.push(bytes)).resize(bytes, 0);
    }
    budget.heads.charge(100);
    expect(aborted).toEqual([]);
    budget.heads.charge(100);
    expect(aborted).toEqual([450]);
    budget.heads.charge(600);
    expect(aborted).toEqual([450]);
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

describe('chooseDropped', () => {
  const NOW_MS = 5_000;
  const holding = (changes: Partial<Holding>): Holding => ({
    kind: 'body',
    bytes: 100,
    isComplete: false,
    owner: 'importer',
    received: 0,
    movedMs: NOW_MS,
    ...changes,
  });
  const choose = (...holdings: Holding[]): Holding | null =>
    chooseDropped(holdings, BUDGET_BYTES, NOW_MS);

  it('takes the body that has stalled with the most for the longest', () => {
    const stalled = holding({bytes: 500, received: 499, movedMs: 0});
    const later = holding({bytes: 500, received: 499, movedMs: 3_000});
    const moving = holding({bytes: 600});
    expect(choose(moving, later, stalled, holding({}))).toBe(stalled);
  });

  it('takes the large body that lacks the most while none has stalled', () => {
    const ahead = holding({bytes: 500, received: 400});
    const behind = holding({bytes: 500, received: 10});
    expect(choose(ahead, behind, holding({bytes: 50}))).toBe(behind);
  });

  it('takes from the account that holds the most', () => {
    const crowd = Array.from({length: 9}, () => holding({bytes: 90}));
    const other = holding({bytes: 200, owner: 'other'});
    expect(choose(other, ...crowd)?.owner).toBe('importer');
  });

  it('takes nothing that an upstream may be running', () => {
    const running = holding({bytes: 900, isComplete: true});
    const fresh = holding({bytes: 200});
    expect(choose(running, fresh)).toBe(fresh);
    expect(choose(running)).toBeNull();
  });

  it('takes responses while bodies hold less than their half', () => {
    const response = holding({kind: 'response', bytes: 800});
    expect(choose(holding({bytes: 300}), response)).toBe(response);
    expect(choose(holding({bytes: 600}), response)?.kind).toBe('body');
  });
});
