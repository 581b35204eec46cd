import {rankMembers} from '@fescuespool/coordination';
import type {GrantRequest} from '@fescuespool/scheduling';
import {LENT_EXTRA_SHARE, UpstreamLimits} from '@fescuespool/scheduling';
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

const SERVICE = 'app';
const MEMBER_COUNT = 4;
const WINDOW_MS = 10_000;
const BOUNDS = {ratio: 0.2, extra: 56, windowMs: WINDOW_MS};
/** Shortest time for which a process runs, and for which it is down. */
const MIN_LIFE_MS = 2_000;
const MAX_SUSPICION_MS = 2_000;
const MEMBERS = Array.from({length: MEMBER_COUNT}, (_, i) => ({
  id: `m-${i}`,
  zone: 'a',
  address: `10.0.0.${i}:1`,
  isLeaving: false,
  tunnelAddress: null,
}));

/** One life of a member's process. */
class MemberProcess {
  readonly startedAtMs = performance.now();
  readonly directory: MemberDirectory;
  readonly dispatcher: Dispatcher;
  readonly loans = new RetryLoans(() => WINDOW_MS);
  private frozenAtMs: number | null = null;
  private endedAtMs: number | null = null;

  constructor(index: number) {
    this.directory = new MemberDirectory(MEMBERS[index]!);
    this.directory.setMembers(MEMBERS);
    const monotonicMs = (): number => this.frozenAtMs ?? performance.now();
    this.dispatcher = new Dispatcher(
      {monotonicMs, wallMs: () => 0},
      SILENT_LOG,
      BOUNDS,
      new UpstreamLimits(),
      service => this.directory.isOwnerOf(service),
      this.directory.queueMembers,
    );
    this.directory.onChange(() => this.dispatcher.handOverQueues());
    this.dispatcher.setUpstreams(new Map([[SERVICE, [ROOMY_UPSTREAM]]]));
  }

  get answers(): boolean {
    return this.frozenAtMs === null && this.endedAtMs === null;
  }

  get ageMs(): number {
    return performance.now() - (this.endedAtMs ?? this.startedAtMs);
  }

  get isEnded(): boolean {
    return this.endedAtMs !== null;
  }

  freeze(): void {
    this.frozenAtMs ??= performance.now();
  }

  thaw(): void {
    this.frozenAtMs = null;
  }

  end(): void {
    this.endedAtMs ??= performance.now();
    this.dispatcher.close();
  }
}

/** Members whose processes fail, and what their entries get from the owners. */
class Fleet {
  readonly requestsAtMs: number[] = [];
  readonly retriesAtMs: number[] = [];
  private readonly processes = MEMBERS.map((_, i) => new MemberProcess(i));
  private idCount = 0;

  close(): void {
    for (const process of this.processes) process.end();
  }

  async load(entry: number, requests: number, retries: number): Promise<void> {
    for (let i = 0; i < requests + retries; i++) {
      this.ask(entry, i >= requests);
    }
    await Promise.resolve();
  }

  /** An entry that finds its owner without an answer asks the next one. */
  private ask(entry: number, isRetry: boolean): void {
    const {directory, loans, answers} = this.processes[entry]!;
    if (!answers) return;
    for (;;) {
      const {id} = directory.ownerOf(SERVICE);
      const lendsRetries = loans.lendTo(SERVICE, id, performance.now());
      const owner = this.processes[MEMBERS.findIndex(m => m.id === id)]!;
      if (!owner.answers) {
        directory.markSuspected(id);
        continue;
      }
      const request = {...this.request(entry, isRetry), lendsRetries};
      const answer = owner.dispatcher.requestGrant(SERVICE, request);
      if (!isRetry) this.requestsAtMs.push(performance.now());
      void answer.then(({kind}) => {
        if (!isRetry || kind !== 'placed') return;
        this.retriesAtMs.push(performance.now());
      });
      return;
    }
  }

  kill(member: number): void {
    const process = this.processes[member]!;
    if (process.ageMs >= MIN_LIFE_MS) process.end();
  }

  start(member: number): void {
    const process = this.processes[member]!;
    if (!process.isEnded || process.ageMs < MIN_LIFE_MS) return;
    this.processes[member] = new MemberProcess(member);
    this.clearSuspicionsOf(member);
  }

  freeze(member: number): void {
    this.processes[member]!.freeze();
  }

  thaw(member: number): void {
    this.processes[member]!.thaw();
    this.clearSuspicionsOf(member);
  }

  suspect(member: number, by: number, forMs: number): void {
    const {directory} = this.processes[by]!;
    directory.markSuspected(MEMBERS[member]!.id);
    setTimeout(() => {
      if (!this.processes[member]!.answers) return;
      directory.clearSuspicion(MEMBERS[member]!.id);
    }, forMs);
  }

  private clearSuspicionsOf(member: number): void {
    if (!this.processes[member]!.answers) return;
    for (const {directory} of this.processes) {
      directory.clearSuspicion(MEMBERS[member]!.id);
    }
  }

  private request(entry: number, isRetry: boolean): GrantRequest {
    return {
      ...GRANT_REQUEST,
      requestId: `r-${++this.idCount}`,
      entryId: MEMBERS[entry]!.id,
      isRetry,
    };
  }
}

/** Most retries of any window beyond what its requests and the limit permit. */
function worstExcess({requestsAtMs, retriesAtMs}: Fleet): number {
  const excesses = retriesAtMs.map(fromMs => {
    const countOf = (times: number[]): number =>
      times.filter(at => at >= fromMs && at <= fromMs + WINDOW_MS).length;
    const limit = BOUNDS.extra + BOUNDS.ratio * countOf(requestsAtMs);
    return countOf(retriesAtMs) - limit;
  });
  return Math.max(-BOUNDS.extra, ...excesses);
}

const MEMBER = fc.nat(MEMBER_COUNT - 1);
const LOAD = fc.record({
  kind: fc.constant('load' as const),
  member: MEMBER,
  requests: fc.nat(25),
  retries: fc.nat(60),
});
const CHANGE = fc.record({
  kind: fc.constantFrom('kill', 'start', 'freeze', 'thaw'),
  member: MEMBER,
});
const SUSPICION = fc.record({
  kind: fc.constant('suspect' as const),
  member: MEMBER,
  by: MEMBER,
  ms: fc.nat(MAX_SUSPICION_MS),
});
const PASS = fc.record({kind: fc.constant('pass' as const), ms: fc.nat(1_500)});
const STEP = fc.oneof(
  {weight: 4, arbitrary: LOAD},
  {weight: 4, arbitrary: CHANGE},
  {weight: 2, arbitrary: SUSPICION},
  {weight: 3, arbitrary: PASS},
);
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

async function play(fleet: Fleet, step: Step): Promise<void> {
  switch (step.kind) {
    case 'load':
      return fleet.load(step.member, step.requests, step.retries);
    case 'suspect':
      return fleet.suspect(step.member, step.by, step.ms);
    case 'pass':
      return void vi.advanceTimersByTime(step.ms);
    default:
      return fleet[step.kind](step.member);
  }
}

/** Members by their rank for the service. */
function ranked(): [number, number, number, number] {
  const ids = MEMBERS.map(({id}) => id);
  const order = rankMembers(ids, SERVICE).map(id => ids.indexOf(id));
  return order as [number, number, number, number];
}

describe('the retry budget of a service whose owners change', () => {
  let fleet: Fleet;

  beforeEach(() => {
    vi.useFakeTimers();
    fleet = new Fleet();
  });

  afterEach(() => {
    fleet.close();
    vi.useRealTimers();
  });

  it('is not spent once by each owner when one after the other is killed', async () => {
    for (let turn = 0; turn < MEMBER_COUNT; turn++) {
      for (let entry = 0; entry < MEMBER_COUNT; entry++) {
        await fleet.load(entry, 0, BOUNDS.extra);
      }
      vi.advanceTimersByTime(MIN_LIFE_MS);
      fleet.kill(ranked()[turn]!);
    }
    expect(fleet.retriesAtMs.length).toBeGreaterThan(0);
    expect(worstExcess(fleet)).toBeLessThanOrEqual(0);
  });

  it('leaves what the entries lend to an owner that takes over', async () => {
    const [first, ...others] = ranked();
    for (const entry of others) await fleet.load(entry, 0, BOUNDS.extra);
    vi.advanceTimersByTime(WINDOW_MS);
    fleet.kill(first);
    const before = fleet.retriesAtMs.length;
    for (const entry of others) await fleet.load(entry, 0, BOUNDS.extra);
    const lent =
      (BOUNDS.extra * LENT_EXTRA_SHARE * others.length) / MEMBER_COUNT;
    const granted = fleet.retriesAtMs.length - before;
    expect(granted).toBeGreaterThanOrEqual(Math.floor(lent));
    expect(worstExcess(fleet)).toBeLessThanOrEqual(0);
  });

  it('does not pile up at members that are asked by mistake', async () => {
    const [first, second, third, entry] = ranked();
    const askAll = async (requests: number, retries: number): Promise<void> => {
      await fleet.load(entry, requests, retries);
      for (const member of [first, second, third]) {
        fleet.suspect(member, entry, MAX_SUSPICION_MS);
        await fleet.load(entry, requests, retries);
      }
    };
    await askAll(1, 0);
    vi.advanceTimersByTime(2 * WINDOW_MS);
    await askAll(0, BOUNDS.extra);
    expect(fleet.retriesAtMs.length).toBeGreaterThan(0);
    expect(worstExcess(fleet)).toBeLessThanOrEqual(0);
  });

  it('holds in every window of random kills, starts, stalls and suspicions', async () => {
    let retries = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(STEP, {minLength: 60, maxLength: 120}),
        async steps => {
          const played = new Fleet();
          for (const step of steps) await play(played, step);
          played.close();
          retries += played.retriesAtMs.length;
          expect(worstExcess(played)).toBeLessThanOrEqual(0);
        },
      ),
      {seed: 20261207, numRuns: 200, endOnFailure: true},
    );
    expect(retries).toBeGreaterThan(0);
  });
});
