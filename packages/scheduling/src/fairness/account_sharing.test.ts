import {describe, expect, it} from 'vitest';
import {
  grantRequest,
  QueueHarness,
  upstream,
} from '../test_support/queue_harness.js';
import type {GrantRequest} from '../types.js';

const ACCOUNTS = 16;
const HOT = 'account-0';
const DAY_MS = 20_000;
const STEP_MS = 5;
const RUN_MS = 160;
const OBJECTIVE_MS = 500;
/** With 32 slots of 160 ms, 0.9 of the room. */
const USUAL_PER_S = 11.25;

interface Account {
  /** Multiple of the usual load in the middle half of the day. */
  readonly factor: number;
  readonly changes?: Partial<GrantRequest>;
}

/** Share of each account's requests that were placed within the objective. */
function playDay(accountOf: (index: number) => Account): Map<string, number> {
  const harness = new QueueHarness(
    Array.from({length: 8}, (_, i) => upstream(`u${i}`, 4)),
  );
  const owed = new Map<string, string[]>();
  const ends: {id: string; atMs: number}[] = [];
  const due = new Array<number>(ACCOUNTS).fill(0);
  let seed = 7;
  const random = (): number => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  const noteEnds = (): void => {
    for (const id of harness.order.splice(0))
      ends.push({id, atMs: harness.nowMs + RUN_MS});
  };
  while (harness.nowMs < DAY_MS) {
    while (ends[0] && ends[0].atMs <= harness.nowMs) {
      harness.end(ends.shift()!.id, 'completed', RUN_MS);
      noteEnds();
    }
    for (let index = 0; index < ACCOUNTS; index++) {
      const {factor, changes} = accountOf(index);
      const isMiddle = Math.abs(harness.nowMs - DAY_MS / 2) < DAY_MS / 4;
      const perMs = (USUAL_PER_S / 1_000) * (isMiddle ? factor : 1);
      due[index]! += perMs * STEP_MS * 2 * random();
      const account = `account-${index}`;
      const ids = owed.get(account) ?? [];
      owed.set(account, ids);
      for (; due[index]! >= 1; due[index]!--) {
        const id = `${account}/${ids.length}`;
        ids.push(id);
        const objectiveLeftMs = OBJECTIVE_MS;
        const load = {objectiveLeftMs, promptTokens: 100, account, ...changes};
        harness.submit(grantRequest(id, load));
        noteEnds();
      }
    }
    harness.advance(STEP_MS);
    noteEnds();
  }
  const isInTime = (id: string): boolean =>
    (harness.placementOf(id)?.waitedMs ?? Infinity) <= OBJECTIVE_MS;
  const shares = [...owed].map(
    ([account, ids]) =>
      [account, ids.filter(isInTime).length / ids.length] as const,
  );
  return new Map(shares);
}

function meanOfOthers(shares: Map<string, number>): number {
  const calm = [...shares].filter(([account]) => account !== HOT);
  return calm.reduce((sum, [, share]) => sum + share, 0) / calm.length;
}

describe('client accounts that share a tier', () => {
  const usual = playDay(() => ({factor: 1}));
  const withHot = (changes?: Partial<GrantRequest>): Map<string, number> =>
    playDay(index => (index === 0 ? {factor: 7, changes} : {factor: 1}));

  it('serves calm ones beside one at 7 times its usual as on other days', () => {
    const shares = withHot();
    expect(meanOfOthers(shares)).toBeGreaterThan(meanOfOthers(usual) - 0.03);
    // What the others leave is used, and the burst itself isn't starved.
    expect(shares.get(HOT)).toBeGreaterThan(0.25);
  });

  it('counts the work of large requests, not their number', () => {
    const shares = playDay(index => ({
      factor: 1.3,
      changes: index === 0 ? {promptTokens: 800} : {},
    }));
    expect(meanOfOthers(shares) - shares.get(HOT)!).toBeGreaterThan(0.1);
  });

  it('lets no higher tier wait for it', () => {
    const shares = playDay(index => ({
      factor: index < 4 ? 2 : 1,
      changes: index === 1 ? {tier: 0} : {},
    }));
    expect(shares.get('account-1')).toBeGreaterThan(0.97);
  });

  it('sets nobody back whose gateway tells no account', () => {
    const shares = playDay(index => ({
      factor: 1.1,
      changes: index < 8 ? {account: null} : {},
    }));
    const inTime = [...shares.values()];
    const mean = (values: number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    const difference = mean(inTime.slice(0, 8)) - mean(inTime.slice(8));
    expect(difference).toBeGreaterThan(-0.05);
  });

  it('gives an account with a larger quota more of the room', () => {
    const shares = playDay(index => ({
      factor: index < 2 ? 5 : 1,
      changes: {accountQuotaPerS: index === 1 ? 8_000 : 1_125},
    }));
    expect(shares.get('account-1')! - shares.get(HOT)!).toBeGreaterThan(0.2);
  });
});
