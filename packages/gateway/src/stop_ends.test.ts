import type {Clock, Logger} from '@fescuespool/common';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {RequestTimer} from './request_timer.js';
import {PACE_INTERVAL_MS} from './stop_constants.js';
import type {StoppableRequest} from './stop_ends.js';
import {StopEnds} from './stop_ends.js';
import type {EndRank} from './stop_policy.js';
import {END_RANK} from './stop_policy.js';

const GRACE_MS = 8_000;
/** Processor time in milliseconds that the end of a request takes here. */
const END_COST_MS = 0.4;

/** Processor time in milliseconds of other work between two measurements. */
const IDLE_CPU_MS = 0.1;
const PERIOD_MS = 100;

/** An open request, as far as its end goes. */
class TimerStandIn {
  private readonly controller = new AbortController();
  /** When it was ended; null while it is open. */
  endedAtMs: number | null = null;
  readonly signal = this.controller.signal;

  constructor(
    readonly name: string,
    readonly ownRemainingMs: number,
    private readonly onEnd: () => number,
    private readonly onStop = (timer: TimerStandIn): void => timer.abort(),
  ) {}

  endByStop(): void {
    this.endedAtMs = this.onEnd();
    this.onStop(this);
  }

  abort(): void {
    this.controller.abort();
  }
}

describe('requests that are ended early', () => {
  let nowMs: number;
  let cpuMs: number;
  let open: Map<RequestTimer, StoppableRequest>;
  let requests: TimerStandIn[];
  let ended: string[];
  let lines: string[];

  beforeEach(() => {
    vi.useFakeTimers({toFake: ['setInterval', 'setImmediate']});
    nowMs = 0;
    cpuMs = 0;
    open = new Map();
    requests = [];
    ended = [];
    lines = [];
  });

  afterEach(() => vi.useRealTimers());

  const clock: Clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const write = (event: string): void => void lines.push(event);
  const log: Logger = {debug: write, info: write, warn: write, error: write};

  const add = (name: string, rank: EndRank, limitMs = 30_000): void => {
    const timer = new TimerStandIn(name, limitMs, () => {
      ended.push(name);
      cpuMs += END_COST_MS;
      return nowMs;
    });
    requests.push(timer);
    open.set(timer as unknown as RequestTimer, {
      rank: () => rank,
      answer: () => false,
    });
  };

  /** Plays a stop of a process that runs for some milliseconds of each 100. */
  const play = (runMs: number, untilMs: number, scarceFromMs = 3_000): void => {
    const ends = new StopEnds(clock, log, open, GRACE_MS, () => cpuMs);
    while (nowMs < untilMs) {
      const intoPeriodMs = nowMs % PERIOD_MS;
      const mayRun = intoPeriodMs + PACE_INTERVAL_MS <= runMs;
      const isScarce = nowMs >= scarceFromMs && !mayRun;
      nowMs += isScarce ? PERIOD_MS - intoPeriodMs : PACE_INTERVAL_MS;
      cpuMs += IDLE_CPU_MS;
      vi.advanceTimersByTime(PACE_INTERVAL_MS);
    }
    ends.close();
  };

  describe('with a whole core', () => {
    it('are none until the last responses are due', () => {
      for (let i = 0; i < 400; i++) add(`${i}`, END_RANK.REPEATABLE);
      play(100, GRACE_MS - 600);
      expect(ended).toEqual([]);
      expect(lines).toEqual([]);
    });
  });

  describe('with one stall and then a whole core', () => {
    it.each([
      [200, 200],
      [400, 200],
      [700, 200],
      [1_500, 200],
      [1_500, 400],
    ])(
      'of %i ms are none of %i until the last responses are due',
      (stallMs, count) => {
        for (let i = 0; i < count; i++) add(`${i}`, END_RANK.REPEATABLE);
        const ends = new StopEnds(clock, log, open, GRACE_MS, () => cpuMs);
        let shortCount = 0;
        while (nowMs < GRACE_MS - 600) {
          nowMs += nowMs === 3_000 ? stallMs : PACE_INTERVAL_MS;
          cpuMs += IDLE_CPU_MS;
          vi.advanceTimersByTime(PACE_INTERVAL_MS);
          if (ends.isShortOfCore) shortCount++;
        }
        ends.close();
        expect(ended).toEqual([]);
        expect(shortCount).toBe(0);
      },
    );

    it('are ended if the stall leaves no time to wait for another', () => {
      for (let i = 0; i < 200; i++) add(`${i}`, END_RANK.REPEATABLE);
      const ends = new StopEnds(clock, log, open, GRACE_MS, () => cpuMs);
      while (nowMs < GRACE_MS - 1_000) {
        nowMs += nowMs === 6_000 ? 900 : PACE_INTERVAL_MS;
        cpuMs += IDLE_CPU_MS;
        vi.advanceTimersByTime(PACE_INTERVAL_MS);
      }
      ends.close();
      expect(ended).toHaveLength(200);
    });
  });

  describe('with two stalls', () => {
    it('are ended, as the second one shows that the core is scarce', () => {
      for (let i = 0; i < 400; i++) add(`${i}`, END_RANK.REPEATABLE);
      const ends = new StopEnds(clock, log, open, GRACE_MS, () => cpuMs);
      for (const stepMs of [3_000, 5, 700, 5, 700, 5, 5, 5, 5]) {
        nowMs += stepMs;
        // It works itself until the stalls.
        cpuMs += stepMs === 3_000 ? stepMs : IDLE_CPU_MS;
        vi.advanceTimersByTime(PACE_INTERVAL_MS);
      }
      ends.close();
      expect(ended.length).toBeGreaterThan(0);
      expect(ends.isShortOfCore).toBe(true);
    });
  });

  describe('with little of a core', () => {
    it.each([
      [12, 120],
      [12, 300],
      [6, 120],
      [6, 300],
    ])('%i ms of each 100 suffice for %i', (runMs, count) => {
      for (let i = 0; i < count; i++) add(`${i}`, END_RANK.REPEATABLE);
      play(runMs, GRACE_MS - 600);
      const left = count - ended.length;
      // What is left has to fit into what the process gets until it is killed.
      expect(left * END_COST_MS).toBeLessThanOrEqual((600 * runMs) / 100);
    });

    it('are ended no sooner than needed, a few at a time', () => {
      for (let i = 0; i < 120; i++) add(`${i}`, END_RANK.REPEATABLE);
      play(12, GRACE_MS - 600);
      const firstMs = Math.min(...requests.flatMap(r => r.endedAtMs ?? []));
      expect(firstMs).toBeGreaterThan(GRACE_MS / 2);
      const times = new Map<number, number>();
      for (const {endedAtMs} of requests) {
        if (endedAtMs === null) continue;
        times.set(endedAtMs, (times.get(endedAtMs) ?? 0) + 1);
      }
      expect(times.size).toBeGreaterThan(5);
    });

    it('begin with those that no upstream has, and leave those that may run once', () => {
      add('cut', END_RANK.BEGUN, 10);
      for (let i = 0; i < 40; i++) add(`once ${i}`, END_RANK.ONCE);
      for (let i = 0; i < 40; i++) {
        add(`repeatable ${i}`, END_RANK.REPEATABLE, 20_000 + i);
      }
      for (let i = 0; i < 40; i++) add(`waiting ${i}`, END_RANK.NOT_PASSED_ON);
      play(6, GRACE_MS - 600);
      const kinds = ended.map(name => name.split(' ')[0]);
      expect([...new Set(kinds)]).toEqual(['waiting', 'repeatable', 'once']);
      expect(kinds.lastIndexOf('waiting')).toBe(39);
      const repeatable = ended.filter(name => name.startsWith('repeatable'));
      expect(repeatable.slice(0, 2)).toEqual(['repeatable 0', 'repeatable 1']);
    });

    it('are logged once', () => {
      for (let i = 0; i < 120; i++) add(`${i}`, END_RANK.REPEATABLE);
      play(6, GRACE_MS - 600);
      expect(lines).toEqual(['requests_ended_early']);
    });

    it('are those that are still open', () => {
      for (let i = 0; i < 300; i++) add(`${i}`, END_RANK.REPEATABLE);
      for (const timer of [...open.keys()].slice(0, 290)) open.delete(timer);
      play(6, GRACE_MS - 1_200);
      expect(ended).toEqual([]);
    });
  });

  describe('that can be answered at once', () => {
    let answered: string[];
    let timers: RequestTimer[];
    let ends: StopEnds;

    beforeEach(() => {
      answered = [];
      timers = ['first', 'second', 'third'].map(name => {
        const request = new TimerStandIn(
          name,
          30_000,
          () => nowMs,
          ended => ends.end(ended as unknown as RequestTimer),
        );
        const timer = request as unknown as RequestTimer;
        const answer = (): boolean => answered.push(name) > 0;
        open.set(timer, {rank: () => END_RANK.REPEATABLE, answer});
        return timer;
      });
      ends = new StopEnds(clock, log, open, GRACE_MS, () => cpuMs);
    });

    afterEach(() => ends.close());

    const abortedCount = (): number =>
      timers.filter(({signal}) => signal.aborted).length;

    it('are all answered before the first of their sends is aborted', () => {
      for (const timer of timers) ends.end(timer);
      expect(answered).toEqual(['first', 'second', 'third']);
      expect(abortedCount()).toBe(0);
      vi.advanceTimersByTime(10);
      expect(abortedCount()).toBe(3);
    });

    it('are not answered again', () => {
      const [first] = timers;
      first!.abort();
      ends.end(first!);
      expect(answered).toEqual([]);
    });

    it('are ended at the next measurement if a round takes too long', () => {
      nowMs = GRACE_MS - 1_000;
      ends.measure();
      expect(answered).toEqual(['first', 'second', 'third']);
      expect(ends.endedEarly).toBe(3);
      expect(ends.isShortOfCore).toBe(true);
    });
  });
});
