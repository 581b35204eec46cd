import {describe, expect, it} from 'vitest';
import {shareAfterExchange} from './quota_share.js';
import {QuotaLedger, UsageHub} from './token_quota.js';

const MEMBERS = 31;
/** Members that stay while all the others end at once. */
const SURVIVORS = 3;
const ACCOUNT = 'a';
const LIMIT = {perSecond: 47_000, burst: 65_000};
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, extra: 190_000};
const REQUEST_UNITS = 200;
/** Part of its quota that the account uses. */
const DEMAND = 0.55;
const EXCHANGE_MS = 124;
const HUB_SETTLE_MS = 600;

describe('shareAfterExchange', () => {
  it('is that of the members that the hub hears, whose usage counts whole', () => {
    expect(shareAfterExchange(1, 20, 40)).toEqual({share: 0.5, coveredPart: 1});
    expect(shareAfterExchange(0.5, 20, 40)).toEqual({
      share: 0.5,
      coveredPart: 1,
    });
  });

  it('covers the usage of members that come back by the share before', () => {
    expect(shareAfterExchange(0.1, 40, 40)).toEqual({
      share: 1,
      coveredPart: 0.1,
    });
  });

  it('is its own while a new hub does not tell whom it hears', () => {
    expect(shareAfterExchange(0.5, null, 40)).toEqual({
      share: 1 / 40,
      coveredPart: 0,
    });
    expect(shareAfterExchange(1, null, 40)).toEqual({
      share: 1,
      coveredPart: 1,
    });
  });
});

describe('members that stay while the others lose power', () => {
  it('do not pay for what those use when they are back', () => {
    const hub = new UsageHub(1_200, HUB_SETTLE_MS);
    const ledgers = Array.from(
      {length: MEMBERS},
      () => new QuotaLedger(TOLERANCE),
    );
    ledgers.forEach(ledger => ledger.setMemberCount(MEMBERS));
    const shares = ledgers.map((_, i) => (i < SURVIVORS ? 1 / MEMBERS : 1));
    ledgers.forEach((ledger, i) => ledger.setShare(shares[i]!, 0));
    const exchange = (i: number, nowMs: number): void => {
      const ledger = ledgers[i]!;
      const usage = ledger.takeUnreported();
      const {others, heard} = hub.exchange(`m${i}`, usage, nowMs);
      const next = shareAfterExchange(shares[i]!, heard, MEMBERS);
      ledger.applyOthersUsage(others, next.coveredPart);
      shares[i] = next.share;
      ledger.setShare(next.share, nowMs);
    };
    const refused: number[] = [];
    let asked = 0;
    let sent = 0;
    for (let nowMs = 0; nowMs < 1_500; nowMs++) {
      ledgers.forEach((_, i) => {
        if ((nowMs + 4 * i) % EXCHANGE_MS === 0) exchange(i, nowMs);
      });
      asked += (DEMAND * LIMIT.perSecond) / 1_000;
      for (; asked >= REQUEST_UNITS; asked -= REQUEST_UNITS) {
        const ledger = ledgers[sent++ % MEMBERS]!;
        const waitMs = ledger.charge(ACCOUNT, LIMIT, REQUEST_UNITS, nowMs);
        if (waitMs > 0) refused.push(nowMs);
      }
    }
    expect(refused).toEqual([]);
  });
});
