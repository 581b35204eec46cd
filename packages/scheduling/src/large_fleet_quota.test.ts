import {describe, expect, it} from 'vitest';
import {shareAfterExchange} from './quota_share.js';
import {BEGUN, QuotaLedger, UsageHub} from './token_quota.js';

const PER_SECOND = 47_000;
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, extra: 190_000};
const REQUEST_UNITS = 3_800;
/** Small enough for one member's part of the tolerance. */
const SMALL_REQUEST_UNITS = 500;
const DAY_MS = 25_000;
/** Milliseconds per member between its exchanges, and their minimum. */
const EXCHANGE_MS_PER_MEMBER = 4;
const MIN_EXCHANGE_MS = 100;
/** Silence after which a member keeps to its share, and of a new hub. */
const SILENCE_TIMEOUT_MS = 1_200;
const HUB_SETTLE_MS = 600;
/** A cut so short that one window holds its start and its end. */
const CUT_MS = 6_000;
/** When all members are killed, and back with nothing known. */
const KILL = {atMs: 10_000, backAtMs: 11_000};

/** An account that asks members at random for requests of one size. */
interface PlayedLoad {
  readonly members: number;
  readonly burst: number;
  /** Multiple of its quota that it asks for. */
  readonly factor: number;
  readonly isKilled: boolean;
  /** Size of its requests; REQUEST_UNITS by default. */
  readonly units?: number;
  /** Part of its requests that go on with what has begun. */
  readonly begunPart?: number;
  /** When the members lose each other, in groups of how many, until when. */
  readonly cut?: {
    readonly atMs: number;
    readonly groupSize: number;
    readonly untilMs: number;
  };
}

/** Returns a generator of numbers from 0 to 1. */
function seededDraw(start: number): () => number {
  let seed = start;
  return () => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return seed / 2_147_483_648;
  };
}

/** Plays a load; returns the units used, in all and in the fullest window. */
function play(load: PlayedLoad): {total: number; fullest: number} {
  const {members, burst, factor, isKilled, begunPart = 0, cut} = load;
  const {units = REQUEST_UNITS} = load;
  const limit = {perSecond: PER_SECOND, burst};
  const perMember = EXCHANGE_MS_PER_MEMBER * members;
  const exchangeMs = Math.max(MIN_EXCHANGE_MS, perMember);
  let ledgers: QuotaLedger[] = [];
  /** One for all members, or one for each group while they are cut. */
  let hubs: UsageHub[] = [];
  let shares: number[] = [];
  const groupSize = cut?.groupSize ?? members;
  const startAll = (): void => {
    hubs = Array.from(
      {length: Math.ceil(members / groupSize)},
      () => new UsageHub(SILENCE_TIMEOUT_MS, HUB_SETTLE_MS),
    );
    ledgers = Array.from({length: members}, () => new QuotaLedger(TOLERANCE));
    for (const ledger of ledgers) ledger.setMemberCount(members);
    shares = ledgers.map(() => 1);
  };
  const exchange = (i: number, nowMs: number): void => {
    const ledger = ledgers[i]!;
    const isOver = cut !== undefined && nowMs >= cut.untilMs;
    const cutForMs = cut && !isOver ? nowMs - cut.atMs : -1;
    let next = {share: 1 / members, coveredPart: 0};
    if (cutForMs >= 0 && cutForMs < SILENCE_TIMEOUT_MS) return;
    if (cutForMs >= 0 && shares[i] === 1) {
      // It heard no hub for the timeout.
      shares[i] = 1 / members;
      ledger.setShare(shares[i]!, nowMs);
    }
    if (cutForMs < 0 || groupSize > 1) {
      const group = cutForMs < 0 ? 0 : Math.floor(i / groupSize);
      const usage = ledger.takeUnreported();
      // The hub of the first group answers the others when they are back.
      const isOtherHub = isOver && i >= groupSize && shares[i]! < 1;
      const answer = hubs[group]!.exchange(String(i), usage, nowMs);
      next = shareAfterExchange(shares[i]!, answer.heard, members);
      const coveredPart = isOtherHub ? 0 : next.coveredPart;
      ledger.applyOthersUsage(answer.others, coveredPart);
    }
    shares[i] = next.share;
    ledger.setShare(next.share, nowMs);
  };
  const used: number[] = [];
  let asked = 0;
  const draw = seededDraw(1);
  const drawMember = (): number => Math.floor(draw() * members);
  // Drawn apart, so that the same members are asked.
  const drawPriority = seededDraw(2);
  startAll();
  for (let nowMs = 0; nowMs < DAY_MS; nowMs++) {
    used.push(0);
    if (isKilled && nowMs === KILL.backAtMs) startAll();
    if (isKilled && nowMs >= KILL.atMs && nowMs < KILL.backAtMs) continue;
    ledgers.forEach((_, i) => {
      const offsetMs = Math.floor((i * exchangeMs) / members);
      if ((nowMs + offsetMs) % exchangeMs === 0) exchange(i, nowMs);
    });
    asked += (PER_SECOND * factor) / 1_000;
    for (; asked >= units; asked -= units) {
      const ledger = ledgers[drawMember()]!;
      const priority = drawPriority() < begunPart ? BEGUN : 0;
      const waitMs = ledger.charge('a', limit, units, nowMs, priority);
      if (waitMs === 0) used[nowMs]! += units;
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

  const units = SMALL_REQUEST_UNITS;

  it.each([1, 5, 30])(
    'keep an account in bounds that goes on with what has begun after a cut into groups of %i',
    groupSize => {
      const load = {members, factor: 5, isKilled: false, begunPart: 0.3, units};
      for (const burst of [50_000, 150_000, 400_000]) {
        // With full buckets, and with spent ones.
        for (const atMs of [50, 10_000]) {
          for (const untilMs of [atMs + CUT_MS, DAY_MS]) {
            const cut = {atMs, groupSize, untilMs};
            const {fullest} = play({...load, burst, cut});
            expect(fullest).toBeLessThanOrEqual(boundOf(burst));
          }
        }
      }
    },
  );

  it.each([0.3, 1])(
    'keep an account in bounds of which a part goes on with what has begun (%d)',
    begunPart => {
      const load = {members, factor: 5, begunPart, units};
      for (const burst of [50_000, 150_000, 400_000]) {
        for (const isKilled of [false, true]) {
          const {fullest} = play({...load, burst, isKilled});
          expect(fullest).toBeLessThanOrEqual(boundOf(burst));
        }
      }
    },
  );
});
