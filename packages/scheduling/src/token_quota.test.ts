import {describe, expect, it} from 'vitest';
import {UNCONFIRMED_SHARES} from './constants.js';
import {QuotaLedger, UsageHub} from './token_quota.js';

const LIMIT = {perSecond: 1_000, burst: 1_000};
const WINDOW_MS = 8_000;
const TOLERANCE = {windowMs: WINDOW_MS, ratio: 0.1, extra: 2_000};

/** Members that exchange their usage through one hub. */
class SimulatedCluster {
  readonly hub = new UsageHub(1_000, 1_000);
  readonly ledgers: QuotaLedger[];
  used = 0;

  constructor(count: number) {
    this.ledgers = Array.from(
      {length: count},
      () => new QuotaLedger(TOLERANCE),
    );
  }

  exchange(nowMs: number, silent: readonly number[] = []): void {
    this.ledgers.forEach((ledger, i) => {
      if (silent.includes(i)) {
        ledger.setShare(1 / this.ledgers.length, nowMs);
        return;
      }
      const usage = ledger.takeUnreported();
      const {others, heard} = this.hub.exchange(`m${i}`, usage, nowMs);
      ledger.applyOthersUsage(others);
      if (heard !== null) {
        ledger.setShare(heard / this.ledgers.length, nowMs);
      }
    });
  }

  /** Charges 50 units at each member every 10 ms; returns the units admitted. */
  saturate(untilMs: number, silent: readonly number[] = []): number {
    let used = 0;
    for (let now = 0; now < untilMs; now += 10) {
      for (const ledger of this.ledgers) {
        if (ledger.charge('a', LIMIT, 50, now) === 0) used += 50;
      }
      if (now % 100 === 0) this.exchange(now, silent);
    }
    return used;
  }
}

const ALLOWED =
  ((LIMIT.perSecond * WINDOW_MS) / 1_000 + LIMIT.burst) * 1.1 + 2_000;

describe('QuotaLedger', () => {
  it('keeps the total of four saturated members within the tolerance', () => {
    expect(new SimulatedCluster(4).saturate(WINDOW_MS)).toBeLessThanOrEqual(
      ALLOWED,
    );
  });

  it('keeps the total while one member cannot exchange usage', () => {
    expect(
      new SimulatedCluster(4).saturate(WINDOW_MS, [2]),
    ).toBeLessThanOrEqual(ALLOWED);
  });

  it('grants 95% of the quota to an account that uses a single member', () => {
    const cluster = new SimulatedCluster(4);
    let used = 0;
    for (let now = 0; now < WINDOW_MS; now += 10) {
      if (cluster.ledgers[0]!.charge('a', LIMIT, 50, now) === 0) used += 50;
      if (now % 100 === 0) cluster.exchange(now);
    }
    expect(used).toBeGreaterThanOrEqual(LIMIT.perSecond * 8 * 0.95);
  });

  it('returns the wait after which a refused request is admitted', () => {
    const ledger = new QuotaLedger();
    ledger.openBucket('a', LIMIT, 0);
    expect(ledger.charge('a', LIMIT, 900, 0)).toBe(0);
    const waitMs = ledger.charge('a', LIMIT, 900, 0);
    expect(waitMs).toBeGreaterThan(0);
    expect(ledger.charge('a', LIMIT, 900, waitMs - 2)).toBeGreaterThan(0);
    expect(ledger.charge('a', LIMIT, 900, waitMs)).toBe(0);
  });

  it("refuses an account's requests of lower priority first", () => {
    const ledger = new QuotaLedger(TOLERANCE);
    ledger.openBucket('a', LIMIT, 0);
    const used = [0, 0, 0];
    for (let now = 0; now < WINDOW_MS; now += 10) {
      for (const priority of [2, 1, 0]) {
        if (ledger.charge('a', LIMIT, 10, now, priority) === 0)
          used[priority]! += 10;
      }
    }
    // Priority 0 alone requests the whole quota.
    expect(used[0]).toBeGreaterThan(0.95 * LIMIT.perSecond * 8);
    expect(used[1]! + used[2]!).toBeLessThan(LIMIT.burst * 2);
  });

  it('refunds requests that did not run and reports no usage for them', () => {
    const ledger = new QuotaLedger();
    ledger.openBucket('a', LIMIT, 0);
    expect(ledger.charge('a', LIMIT, 200, 0)).toBe(0);
    ledger.refund('a', 200);
    expect(ledger.takeUnreported()).toEqual({a: 0});
    expect(ledger.charge('a', LIMIT, 200, 0)).toBe(0);
  });

  it('reports usage again after a failed report', () => {
    const ledger = new QuotaLedger();
    ledger.openBucket('a', LIMIT, 0);
    ledger.charge('a', LIMIT, 100, 0);
    ledger.restoreUnreported(ledger.takeUnreported());
    expect(ledger.takeUnreported()).toEqual({a: 100});
  });

  it('starts the bucket of a new member with the burst only', () => {
    const ledger = new QuotaLedger(TOLERANCE);
    expect(ledger.charge('a', LIMIT, LIMIT.burst + 100, 0)).toBeGreaterThan(0);
    expect(ledger.charge('a', LIMIT, LIMIT.burst, 0)).toBe(0);
  });

  it('keeps the total of a cluster of 27 within the tolerance', () => {
    const cluster = new SimulatedCluster(27);
    cluster.ledgers.forEach(ledger => ledger.openBucket('a', LIMIT, 0));
    cluster.ledgers.forEach(ledger => ledger.setMemberCount(27));
    const admitted = cluster.ledgers.filter(
      ledger => ledger.charge('a', LIMIT, LIMIT.burst, 0) === 0,
    );
    expect(admitted).toHaveLength(0);
    expect(cluster.saturate(WINDOW_MS)).toBeLessThanOrEqual(ALLOWED);
  });

  it('refuses nothing within the quota after a restart of a large cluster', () => {
    const cluster = new SimulatedCluster(27);
    cluster.ledgers.forEach(ledger => ledger.openBucket('a', LIMIT, 0));
    cluster.ledgers.forEach(ledger => ledger.setMemberCount(27));
    // Requests of 1.2 s are repeated within 0.5 s, in addition to new requests at
    // 0.55 of the quota.
    const requestedPerMs = (0.55 * LIMIT.perSecond) / 1_000;
    const repeatedPerMs = (requestedPerMs * 1_200) / 500;
    const units = 2;
    let requested = 0;
    let refused = 0;
    for (let now = 0, due = 0; now < 1_500; now += 10) {
      due += 10 * (requestedPerMs + (now < 500 ? repeatedPerMs : 0));
      for (; requested < due; requested += units) {
        const ledger = cluster.ledgers[(requested / units) % 27]!;
        const priority = (requested / units) % 3;
        if (ledger.charge('a', LIMIT, units, now, priority) > 0) refused++;
      }
      if (now % 110 === 0) cluster.exchange(now);
    }
    expect(refused).toBe(0);
  });

  it('does not count refunded units against the limit between exchanges', () => {
    const ledger = new QuotaLedger();
    const members = 40;
    ledger.openBucket('a', LIMIT, 0);
    ledger.setMemberCount(members);
    const atOnce = (UNCONFIRMED_SHARES / members) * LIMIT.burst;
    const first = 10;
    expect(ledger.charge('a', LIMIT, first, 0)).toBe(0);
    for (let i = 0; i < 9; i++) {
      expect(ledger.charge('a', LIMIT, atOnce - first, 0)).toBe(0);
      ledger.refund('a', atOnce - first);
    }
    ledger.charge('a', LIMIT, atOnce - first, 0);
    expect(ledger.charge('a', LIMIT, 1, 0)).toBeGreaterThan(0);
  });

  it('admits a whole burst from a full bucket in a large cluster', () => {
    const ledger = new QuotaLedger();
    ledger.openBucket('a', LIMIT, 0);
    ledger.setMemberCount(27);
    expect(ledger.charge('a', LIMIT, LIMIT.burst, 5_000)).toBe(0);
  });

  it('keeps the total within the tolerance over a restart of all members', () => {
    const before = new SimulatedCluster(4).saturate(WINDOW_MS / 2);
    const after = new SimulatedCluster(4).saturate(WINDOW_MS / 2);
    expect(before + after).toBeLessThanOrEqual(ALLOWED);
  });
});

describe('UsageHub', () => {
  it('does not report earlier usage to a new member', () => {
    const hub = new UsageHub(1_000, 1_000);
    hub.exchange('m1', {a: 500}, 0);
    expect(hub.exchange('m2', {}, 1).others).toEqual({});
    hub.exchange('m1', {a: 7}, 2);
    expect(hub.exchange('m2', {}, 3).others).toEqual({a: 7});
  });

  it('does not count members whose last exchange timed out', () => {
    const hub = new UsageHub(1_000, 1_000);
    hub.exchange('m1', {}, 0);
    hub.exchange('m1', {}, 900);
    expect(hub.exchange('m2', {}, 1_400).heard).toBe(2);
    expect(hub.exchange('m2', {}, 2_300).heard).toBe(1);
  });

  it('reports no member count until all members had time to exchange', () => {
    const hub = new UsageHub(1_000, 1_000);
    expect(hub.exchange('m1', {}, 0).heard).toBe(null);
    expect(hub.exchange('m2', {}, 900).heard).toBe(null);
    // After a gap, as when another member was the hub, it counts as new again.
    expect(hub.exchange('m1', {}, 9_000).heard).toBe(null);
  });
});
