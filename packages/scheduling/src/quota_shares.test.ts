import {beforeEach, describe, expect, it} from 'vitest';
import {QuotaLedger} from './token_quota.js';

const ACCOUNT = 'a';
const LIMIT = {perSecond: 1_000, burst: 1_000};
const MEMBERS = 31;
const QUIET_MS = 5_000;

describe('the bucket of an account that has been quiet at a member', () => {
  let ledger: QuotaLedger;

  beforeEach(() => {
    ledger = new QuotaLedger();
    ledger.setMemberCount(MEMBERS);
    ledger.openBucket(ACCOUNT, LIMIT, 0);
  });

  const charge = (units: number, nowMs: number): number =>
    ledger.charge(ACCOUNT, LIMIT, units, nowMs);

  it('keeps what came in while the others used it, if they are lost', () => {
    // The others use nine tenths of what comes in.
    const used = 0.9 * LIMIT.perSecond * (QUIET_MS / 1_000);
    ledger.applyOthersUsage({[ACCOUNT]: used});
    ledger.setShare(1 / MEMBERS, QUIET_MS);
    expect(charge(LIMIT.burst / MEMBERS, QUIET_MS)).toBe(0);
  });

  it('is not filled at the whole rate for the time in which it had a share', () => {
    ledger.setShare(1 / MEMBERS, 0);
    charge(LIMIT.burst / MEMBERS, 0);
    ledger.setShare(1, QUIET_MS);
    expect(charge((2 * LIMIT.burst) / MEMBERS, QUIET_MS)).toBeGreaterThan(0);
  });
});

describe('a member of a large cluster that keeps to its own share', () => {
  it('may use all of it, as no other member can', () => {
    const ledger = new QuotaLedger();
    ledger.setMemberCount(MEMBERS);
    ledger.openBucket(ACCOUNT, LIMIT, 0);
    ledger.setShare(1 / MEMBERS, 0);
    const units = 2;
    for (let used = units; used <= LIMIT.burst / MEMBERS; used += units) {
      expect(ledger.charge(ACCOUNT, LIMIT, units, 0)).toBe(0);
    }
    expect(ledger.charge(ACCOUNT, LIMIT, units, 0)).toBeGreaterThan(0);
  });
});

describe('a member that keeps to its own share from now on', () => {
  it('pays for what it has used since the last exchange', () => {
    const ledger = new QuotaLedger();
    ledger.openBucket(ACCOUNT, LIMIT, 0);
    const share = 1 / 4;
    ledger.charge(ACCOUNT, LIMIT, 0.9 * LIMIT.burst, 0);
    ledger.setShare(share, 0);
    // Its share is spent, and .65 of a burst of the others' parts with it.
    const waitMs = ledger.charge(ACCOUNT, LIMIT, 1, 0);
    const owed = (0.9 - share) * LIMIT.burst;
    expect(waitMs).toBeGreaterThan((owed * 1_000) / (share * LIMIT.perSecond));
  });
});
