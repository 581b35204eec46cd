import {describe, expect, it} from 'vitest';
import {BEGUN, QuotaLedger, UsageHub} from './token_quota.js';

const LIMIT = {perSecond: 47_000, burst: 150_000};
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, extra: 190_000};
const UNITS = 500;
const EXCHANGE_MS = 100;
const DAY_MS = 25_000;
/** Of as many answers of the hub, one does not arrive. */
const LOST_EVERY = 2;

/** Units of the fullest window of an account that asks for five times its quota. */
function fullestWindow(
  members: number,
  begunPart: number,
  lostEvery: number,
): number {
  const hub = new UsageHub(1_200, 600);
  const ledgers = Array.from(
    {length: members},
    () => new QuotaLedger(TOLERANCE),
  );
  for (const ledger of ledgers) ledger.setMemberCount(members);
  const used: number[] = [];
  let asked = 0;
  let next = 0;
  let exchanges = 0;
  for (let nowMs = 0; nowMs < DAY_MS; nowMs++) {
    used.push(0);
    ledgers.forEach((ledger, i) => {
      const offsetMs = Math.floor((i * EXCHANGE_MS) / members);
      if ((nowMs + offsetMs) % EXCHANGE_MS !== 0) return;
      const usage = ledger.takeUnreported();
      const {others} = hub.exchange(String(i), usage, nowMs);
      // The hub is a member as well, whose own exchange can't be lost.
      const isLost = i > 0 && ++exchanges % lostEvery === 0;
      if (isLost) ledger.restoreUnreported(usage);
      else ledger.applyOthersUsage(others);
    });
    asked += (5 * LIMIT.perSecond) / 1_000;
    for (; asked >= UNITS; asked -= UNITS) {
      const i = next++ % members;
      const isBegun = (next * 7) % 10 < 10 * begunPart;
      const priority = isBegun ? BEGUN : 0;
      const waitMs = ledgers[i]!.charge('a', LIMIT, UNITS, nowMs, priority);
      if (waitMs === 0) used[nowMs]! += UNITS;
    }
  }
  let window = 0;
  let fullest = 0;
  used.forEach((units, i) => {
    window += units - (used[i - TOLERANCE.windowMs] ?? 0);
    fullest = Math.max(fullest, window);
  });
  return fullest;
}

const BOUND =
  ((LIMIT.perSecond * TOLERANCE.windowMs) / 1_000 + LIMIT.burst) *
    (1 + TOLERANCE.ratio) +
  TOLERANCE.extra;

describe.each([1, 2, 3, 4, 5, 8, 31])('a quota in a fleet of %i', members => {
  it.each([0, 0.3, 1])(
    'is kept, with %d of the requests resumed',
    begunPart => {
      const fullest = fullestWindow(members, begunPart, Infinity);
      expect(fullest).toBeLessThanOrEqual(BOUND);
    },
  );

  it('is kept if answers of the hub are lost', () => {
    const fullest = fullestWindow(members, 0, LOST_EVERY);
    expect(fullest / BOUND).toBeLessThanOrEqual(1);
  });
});
