import {rankMembers} from '@fescuespool/coordination';
import {LENT_EXTRA_SHARE, UpstreamLimits} from '@fescuespool/scheduling';
import {beforeEach, describe, expect, it} from 'vitest';
import {MAX_QUEUE_TICK_GAP_MS} from './constants.js';
import {Dispatcher} from './dispatcher.js';
import {MemberDirectory} from './member_directory.js';
import {RetryLoans} from './retry_loans.js';
import {
  GRANT_REQUEST,
  ROOMY_UPSTREAM,
  SILENT_LOG,
} from './test_support/dispatch_fixtures.js';

const SERVICE = 'app';
const BOUNDS = {ratio: 0.2, extra: 56, windowMs: 10_000};
const IDS = ['m-0', 'm-1', 'm-2', 'm-3'];
const MEMBERS = IDS.map((id, i) => ({
  id,
  zone: 'a',
  address: `10.0.0.${i}:1`,
  isLeaving: false,
  tunnelAddress: null,
}));
const [FIRST, SECOND] = rankMembers(IDS, SERVICE) as [string, string];
describe('the retry budget of a queue', () => {
  let nowMs: number;
  let idCount: number;

  beforeEach(() => {
    nowMs = 0;
    idCount = 0;
  });

  /** A member that runs its queue on a clock of the test. */
  const createOwner = (id: string): [MemberDirectory, Dispatcher] => {
    const directory = new MemberDirectory(MEMBERS[IDS.indexOf(id)]!);
    directory.setMembers(MEMBERS);
    const dispatcher = new Dispatcher(
      {monotonicMs: () => nowMs, wallMs: () => 0},
      SILENT_LOG,
      BOUNDS,
      new UpstreamLimits(),
      service => directory.isOwnerOf(service),
      directory.queueMembers,
    );
    directory.onChange(() => dispatcher.handOverQueues());
    dispatcher.setUpstreams(new Map([[SERVICE, [ROOMY_UPSTREAM]]]));
    return [directory, dispatcher];
  };

  /** Asks for retries and returns how many were granted. */
  const retry = async (
    dispatcher: Dispatcher,
    entryId: string,
    count: number,
    lendsRetries = false,
  ): Promise<number> => {
    let granted = 0;
    for (let i = 0; i < count; i++) {
      const request = {
        ...GRANT_REQUEST,
        isRetry: true,
        requestId: `r-${idCount++}`,
        entryId,
        lendsRetries: lendsRetries && i === 0,
      };
      void dispatcher.requestGrant(SERVICE, request).then(({kind}) => {
        if (kind === 'placed') granted++;
      });
    }
    await Promise.resolve();
    await Promise.resolve();
    return granted;
  };

  /** Lets an owner run for two windows, in which its budget fills. */
  const fill = async (dispatcher: Dispatcher): Promise<void> => {
    const endsAtMs = nowMs + 2 * BOUNDS.windowMs;
    for (; nowMs < endsAtMs; nowMs += MAX_QUEUE_TICK_GAP_MS / 2) {
      await retry(dispatcher, FIRST, 0);
      dispatcher.reconcile({
        service: SERVICE,
        entryId: FIRST,
        runs: [],
        limits: [],
        leaving: [],
        pauses: [],
      });
    }
  };

  it('is not emptied by a short stall of the owner that ranks first', async () => {
    const [, owner] = createOwner(FIRST);
    await fill(owner);
    nowMs += MAX_QUEUE_TICK_GAP_MS;
    const total = await retry(owner, FIRST, BOUNDS.extra);
    owner.close();
    expect(total).toBeGreaterThanOrEqual(Math.floor(0.2 * BOUNDS.extra));
  });

  it('is not kept through a stall after which another may rank first', async () => {
    const [, owner] = createOwner(FIRST);
    const [directory, next] = createOwner(SECOND);
    await fill(owner);
    directory.setMembers(MEMBERS.filter(({id}) => id !== FIRST));
    await fill(next);
    const total =
      (await retry(next, SECOND, BOUNDS.extra)) +
      (await retry(owner, FIRST, BOUNDS.extra));
    owner.close();
    next.close();
    expect(total).toBeGreaterThan(0);
    // In the same window, each may get its refill as well.
    const refills = 2 * 0.2 * BOUNDS.extra;
    expect(total).toBeLessThanOrEqual(BOUNDS.extra - refills);
  });

  it('keeps what entries lent when its owner comes to rank first', async () => {
    const [directory, owner] = createOwner(SECOND);
    const loans = new RetryLoans(() => BOUNDS.windowMs);
    const entries = IDS.filter(id => id !== FIRST);
    for (const id of entries) {
      const lends = loans.lendTo(id, SECOND, nowMs);
      expect(await retry(owner, id, 1, lends)).toBe(1);
    }
    directory.setMembers(MEMBERS.filter(({id}) => id !== FIRST));
    const total = await retry(owner, SECOND, BOUNDS.extra);
    owner.close();
    const lent = (BOUNDS.extra * LENT_EXTRA_SHARE * entries.length) / 4;
    expect(total).toBeGreaterThanOrEqual(Math.floor(lent) - entries.length);
  });
});
