import {rankMembers} from '@fescuespool/coordination';
import type {GrantRequest} from '@fescuespool/scheduling';
import {RUN_END, UpstreamLimits} from '@fescuespool/scheduling';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {Dispatcher} from './dispatcher.js';
import {MemberDirectory} from './member_directory.js';
import {RetryLoans} from './retry_loans.js';
import {
  GRANT_REQUEST,
  ROOMY_UPSTREAM,
  SILENT_LOG,
} from './test_support/dispatch_fixtures.js';
import type {GatewayMember} from './types.js';

const SERVICE = 'app';
const WINDOW_MS = 10_000;
const BOUNDS = {ratio: 0.2, extra: 56, windowMs: WINDOW_MS};
const STEP_MS = 250;
/** Time in milliseconds in which an entry's requests add a whole retry. */
const EARN_MS = 2_000;
const COMPLETED_RUN = {
  end: RUN_END.COMPLETED,
  runMs: 20,
  eventGapMs: null,
  load: null,
} as const;

/** Members in the order of their rank for the service. */
function rankedMembers(count: number): GatewayMember[] {
  const ids = Array.from({length: count}, (_, i) => `m-${i}`);
  return rankMembers(ids, SERVICE).map(id => ({
    id,
    zone: 'a',
    address: '10.0.0.1:1',
    isLeaving: false,
    tunnelAddress: null,
  }));
}

/** Members that run without an end; each has suspicions and a list of its own. */
class DividedFleet {
  readonly requestsAtMs: number[] = [];
  readonly retriesAtMs: number[] = [];
  /** Members that granted a retry. */
  readonly granters = new Set<number>();
  private readonly members: readonly GatewayMember[];
  private readonly processes: {
    directory: MemberDirectory;
    dispatcher: Dispatcher;
    loans: RetryLoans;
  }[];
  private idCount = 0;

  constructor(count: number) {
    this.members = rankedMembers(count);
    this.processes = this.members.map(member => {
      const directory = new MemberDirectory(member);
      directory.setMembers(this.members);
      const dispatcher = new Dispatcher(
        {monotonicMs: () => performance.now(), wallMs: () => 0},
        SILENT_LOG,
        BOUNDS,
        new UpstreamLimits(),
        service => directory.isOwnerOf(service),
        directory.queueMembers,
      );
      directory.onChange(() => dispatcher.handOverQueues());
      dispatcher.setUpstreams(new Map([[SERVICE, [ROOMY_UPSTREAM]]]));
      return {
        directory,
        dispatcher,
        loans: new RetryLoans(() => WINDOW_MS),
      };
    });
  }

  close(): void {
    for (const {dispatcher} of this.processes) dispatcher.close();
  }

  /** Has a member suspect exactly those with the given ranks. */
  setSuspects(by: number, ranks: readonly number[]): void {
    const {directory} = this.processes[by]!;
    this.members.forEach(({id}, rank) => {
      if (ranks.includes(rank)) directory.markSuspected(id);
      else directory.clearSuspicion(id);
    });
  }

  /** Each of the entries sends requests and retries with each step. */
  async load(
    entries: readonly number[],
    perStep: {requests: number; retries: number},
    durationMs: number,
  ): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      for (const entry of entries) {
        for (let i = 0; i < perStep.requests; i++) this.ask(entry, false);
        for (let i = 0; i < perStep.retries; i++) this.ask(entry, true);
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  private ask(entry: number, isRetry: boolean): void {
    const {directory, loans} = this.processes[entry]!;
    const {id} = directory.ownerOf(SERVICE);
    const lendsRetries = loans.lendTo(SERVICE, id, performance.now());
    const owner = this.members.findIndex(member => member.id === id);
    const request = this.request(entry, {isRetry, lendsRetries});
    if (!isRetry) this.requestsAtMs.push(performance.now());
    const {dispatcher} = this.processes[owner]!;
    void dispatcher.requestGrant(SERVICE, request).then(({kind}) => {
      if (kind !== 'placed') return;
      const {requestId} = request;
      dispatcher.recordEnd(SERVICE, {...COMPLETED_RUN, requestId});
      if (!isRetry) return;
      this.retriesAtMs.push(performance.now());
      this.granters.add(owner);
    });
  }

  private request(
    entry: number,
    changes: {isRetry: boolean; lendsRetries: boolean},
  ): GrantRequest {
    return {
      ...GRANT_REQUEST,
      requestId: `r-${++this.idCount}`,
      entryId: this.members[entry]!.id,
      ...changes,
    };
  }
}

/** Most retries of any window beyond what its requests and the limit permit. */
function worstExcess({requestsAtMs, retriesAtMs}: DividedFleet): number {
  const countIn = (times: readonly number[], fromMs: number): number =>
    times.filter(at => at >= fromMs && at <= fromMs + WINDOW_MS).length;
  const excesses = [...new Set(retriesAtMs)].map(fromMs => {
    const limit = BOUNDS.extra + BOUNDS.ratio * countIn(requestsAtMs, fromMs);
    return countIn(retriesAtMs, fromMs) - limit;
  });
  return Math.max(-BOUNDS.extra, ...excesses);
}

/** The numbers from 0 to one below the count. */
function range(count: number): number[] {
  return Array.from({length: count}, (_, i) => i);
}

describe('the retry budget of a service with several owners at once', () => {
  let fleet: DividedFleet | null = null;

  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    fleet?.close();
    fleet = null;
    vi.useRealTimers();
  });

  const earnThenRetry = async (
    divided: DividedFleet,
    entries: readonly number[],
    earnMs = 2 * WINDOW_MS,
  ): Promise<void> => {
    await divided.load(entries, {requests: 2, retries: 0}, earnMs);
    await divided.load(entries, {requests: 0, retries: 3}, WINDOW_MS);
  };

  it.each([4, 12, 60])(
    'is shared by owners that do not know of each other, of %i members',
    async count => {
      fleet = new DividedFleet(count);
      // Each suspects some of those that rank before it, and nobody suspects it.
      for (const rank of range(count)) {
        fleet.setSuspects(rank, range(Math.min(rank, 1 + (rank % 5))));
      }
      await earnThenRetry(fleet, range(count));
      expect(fleet.granters.size).toBeGreaterThan(1);
      expect(worstExcess(fleet)).toBeLessThanOrEqual(0);
    },
  );

  it('is shared by many members that reach nobody', async () => {
    const count = 80;
    fleet = new DividedFleet(count);
    for (const rank of range(count)) {
      fleet.setSuspects(
        rank,
        range(count).filter(other => other !== rank),
      );
    }
    await earnThenRetry(fleet, range(count), EARN_MS);
    expect(worstExcess(fleet)).toBeLessThanOrEqual(0);
  });

  it('holds in every window of random suspicions that last', async () => {
    const count = 12;
    const suspects = fc.oneof(
      fc.nat(count - 1).map(range),
      fc.uniqueArray(fc.nat(count - 1)),
    );
    const phase = fc.record({
      /** What each member suspects. */
      suspects: fc.array(suspects, {minLength: count, maxLength: count}),
      requests: fc.constantFrom(0, 0, 2),
      retries: fc.constantFrom(0, 0, 3),
      steps: fc.nat(2 * (WINDOW_MS / STEP_MS)),
    });
    let retries = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(phase, {minLength: 2, maxLength: 12}),
        async phases => {
          const played = new DividedFleet(count);
          for (const {suspects, steps, ...perStep} of phases) {
            suspects.forEach((ranks, by) => played.setSuspects(by, ranks));
            await played.load(range(count), perStep, steps * STEP_MS);
          }
          played.close();
          retries += played.retriesAtMs.length;
          expect(worstExcess(played)).toBeLessThanOrEqual(0);
        },
      ),
      {seed: 20261208, numRuns: 60, endOnFailure: true},
    );
    expect(retries).toBeGreaterThan(0);
  }, 60_000);

  it('stays whole while nobody is suspected and most entries are idle', async () => {
    fleet = new DividedFleet(60);
    await fleet.load([7], {requests: 1, retries: 0}, 2 * WINDOW_MS);
    await fleet.load([7], {requests: 0, retries: 3}, WINDOW_MS);
    expect(fleet.retriesAtMs.length).toBeGreaterThanOrEqual(
      Math.floor(0.5 * BOUNDS.extra),
    );
  });

  it('leaves retries from their requests to few entries that miss the first', async () => {
    fleet = new DividedFleet(60);
    fleet.setSuspects(7, [0]);
    await fleet.load([7], {requests: 1, retries: 1}, WINDOW_MS);
    const requests = WINDOW_MS / STEP_MS;
    expect(fleet.retriesAtMs.length).toBeGreaterThanOrEqual(
      Math.floor(0.8 * BOUNDS.ratio * requests),
    );
    expect(fleet.granters).toEqual(new Set([1]));
  });
});
