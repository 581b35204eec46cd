import {describe, expect, it} from 'vitest';
import {QuotaLedger, UsageHub} from './token_quota.js';

const PER_SECOND = 47_000;
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, extra: 190_000};
const REQUEST_UNITS = 3_800;
const DAY_MS = 25_000;
/** Milliseconds per member between its exchanges, and their minimum. */
const EXCHANGE_MS_PER_MEMBER = 4;
const MIN_EXCHANGE_MS = 100;
/** When all members are killed, and back with nothing known. */
const KILL = {atMs: 10_000, backAtMs: 11_000};

/** An account that asks members at random for requests of one size. */
interface PlayedLoad {
  readonly members: number;
  readonly burst: number;
  /** Multiple of its quota that it asks for. */
  readonly factor: number;
  readonly isKilled: boolean;
}

/** Plays a load; returns the units used, in all and in the fullest window. */
function play(load: PlayedLoad): {total: number; fullest: number} {
  const {members, burst, factor, isKilled} = load;
  const limit = {perSecond: PER_SECOND, burst};
  const perMember = EXCHANGE_MS_PER_MEMBER * members;
  const exchangeMs = Math.max(MIN_EXCHANGE_MS, perMember);
  let ledgers: QuotaLedger[] = [];
  let hub = new UsageHub(1_200, 600);
  const startAll = (): void => {
    hub = new UsageHub(1_200, 600);
    ledgers = Array.from({length: members}, () => new QuotaLedger(TOLERANCE));
    for (const ledger of ledgers) ledger.setMemberCount(members);
  };
  const used: number[] = [];
  let asked = 0;
  let seed = 1;
  const drawMember = (): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return Math.floor((seed / 2_147_483_648) * members);
  };
  startAll();
  for (let nowMs = 0; nowMs < DAY_MS; nowMs++) {
    used.push(0);
    if (isKilled && nowMs === KILL.backAtMs) startAll();
    if (isKilled && nowMs >= KILL.atMs && nowMs < KILL.backAtMs) continue;
    ledgers.forEach((ledger, i) => {
      const offsetMs = Math.floor((i * exchangeMs) / members);
      if ((nowMs + offsetMs) % exchangeMs !== 0) return;
      const usage = ledger.takeUnreported();
      const {others} = hub.exchange(String(i), usage, nowMs);
      ledger.applyOthersUsage(others);
    });
    asked += (PER_SECOND * factor) / 1_000;
    for (; asked >= REQUEST_UNITS; asked -= REQUEST_UNITS) {
      const ledger = ledgers[drawMember()]!;
      const waitMs = ledger.charge('a', limit, REQUEST_UNITS, nowMs);
      if (waitMs === 0) used[nowMs]! += REQUEST_UNITS;
    }
  }
  let window = 0;
  let fullest = 0;
  used.forEach((units, i) => {
    window += units - (used[i - TOLERANCE.windowMs] ?? 0);
    fullest = Math.max(fullest, window);
  });
  return {total: used.reduce((sum, units) => sum + units, 0), fullest};
}

/** Units that a window may have under the users' bound. */
function boundOf(burst: number): number {
  const perWindow = (PER_SECOND * TOLERANCE.windowMs) / 1_000;
  return (perWindow + burst) * (1 + TOLERANCE.ratio) + TOLERANCE.extra;
}

describe('quotas in a fleet of 77 members', () => {
  const members = 77;

  it.each([50_000, 150_000])(
    'let an account with a burst of %i use what it is owed in large requests',
    burst => {
      const {total} = play({members, burst, factor: 1, isKilled: false});
      expect(total).toBeGreaterThan(0.95 * PER_SECOND * (DAY_MS / 1_000));
    },
  );

  describe.each([50_000, 150_000, 400_000])('with a burst of %i', burst => {
    it.each([false, true])(
      'keep an account that asks for five times as much in bounds (all members killed: %s)',
      isKilled => {
        const {fullest} = play({members, burst, factor: 5, isKilled});
        expect(fullest).toBeLessThanOrEqual(boundOf(burst));
      },
    );
  });
});
