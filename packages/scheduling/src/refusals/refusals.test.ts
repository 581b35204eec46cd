import {describe, expect, it} from 'vitest';
import {QUEUE_REFUSAL} from '../constants.js';
import {
  grantRequest,
  QueueHarness,
  upstream,
} from '../test_support/queue_harness.js';
import {ReturnSchedule} from './return_schedule.js';
import {StartAllowance} from './start_allowance.js';

const TICK_MS = 25;
const RUN_MS = 100;

/** Plays a queue whose runs end after `RUN_MS`. */
class Day {
  readonly harness = new QueueHarness([upstream('u', 4)]);
  private readonly runs: {id: string; endsAtMs: number}[] = [];

  get nowMs(): number {
    return this.harness.nowMs;
  }

  submit(id: string, changes: Parameters<typeof grantRequest>[1] = {}): void {
    this.harness.submit(grantRequest(id, changes));
    this.noteRuns();
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.harness.advance(TICK_MS);
      this.noteRuns();
      while (this.runs[0] && this.runs[0].endsAtMs <= this.nowMs) {
        this.harness.end(this.runs.shift()!.id, 'completed', RUN_MS);
        this.noteRuns();
      }
    }
  }

  /** Milliseconds after which a refused request is to come back. */
  retryAfterMs(id: string): number {
    const answer = this.harness.answers.get(id);
    return answer?.kind === 'refused' ? answer.retryAfterMs : NaN;
  }

  private noteRuns(): void {
    for (const id of this.harness.order.splice(0))
      this.runs.push({id, endsAtMs: this.nowMs + RUN_MS});
  }
}

describe('requests that the queue refuses', () => {
  /** Plays arrivals; milliseconds after which the watched ones were refused. */
  function playHolds(
    day: Day,
    arrive: (step: number) => void,
    watched: string,
  ): number[] {
    let heldMs: number[] = [];
    const openedAt = new Map<string, number>();
    for (let step = 0; step < 200; step++) {
      arrive(step);
      openedAt.set(`${watched}-${step}`, day.nowMs);
      day.advance(50);
      for (const [id, atMs] of openedAt) {
        if (!day.harness.answers.has(id)) continue;
        openedAt.delete(id);
        if (day.harness.refusalOf(id)) heldMs.push(day.nowMs - atMs);
      }
      // The queue has learnt how long runs take.
      if (step === 60) heldMs = [];
    }
    return heldMs.sort((a, b) => a - b);
  }

  it('are refused at once while higher tiers take nearly all room', () => {
    const day = new Day();
    const heldMs = playHolds(
      day,
      step => {
        // 38 of the 40 places in a second.
        for (let i = 0; i < 2; i++) {
          if ((step * 2 + i) % 20 !== 0)
            day.submit(`high-${step}-${i}`, {tier: 0});
        }
        day.submit(`low-${step}`, {tier: 1, patienceLeftMs: 1_000});
      },
      'low',
    );
    expect(heldMs.length).toBeGreaterThan(50);
    expect(heldMs[Math.floor(0.7 * heldMs.length)]).toBeLessThanOrEqual(100);
    // Nobody is held for more than half of its patience to be refused.
    expect(heldMs.at(-1)).toBeLessThanOrEqual(500);
  });

  it('are refused soon where new ones of their tier go before late ones', () => {
    const day = new Day();
    const limits = {objectiveLeftMs: 180, patienceLeftMs: 1_200};
    const heldMs = playHolds(
      day,
      step => {
        for (const name of ['a', 'b', 'c'])
          day.submit(`${name}-${step}`, limits);
      },
      'c',
    );
    expect(heldMs.length).toBeGreaterThan(30);
    expect(heldMs.at(-1)).toBeLessThanOrEqual(600);
  });

  describe('and that come back', () => {
    const overload = (day: Day, count: number): string[] => {
      const ids = Array.from({length: count}, (_, i) => `r${i}`);
      for (const id of ids) {
        day.submit(id, {patienceLeftMs: 500, timeLeftMs: 12_000});
      }
      return ids.filter(id => day.harness.refusalOf(id) !== null);
    };

    it('are told times that are spread and for which callers wait', () => {
      const day = new Day();
      const told = overload(day, 60).map(id => day.retryAfterMs(id));
      expect(told.length).toBeGreaterThan(20);
      expect(Math.max(...told)).toBeLessThanOrEqual(4_000);
      expect(new Set(told).size).toBe(told.length);
    });

    it('go before new requests of their tier if they kept to it', () => {
      const day = new Day();
      const [first] = overload(day, 30);
      day.advance(day.retryAfterMs(first!));
      const limits = {patienceLeftMs: 500, timeLeftMs: 8_000};
      for (let i = 0; i < 30; i++) day.submit(`new-${i}`, limits);
      day.submit('again', {...limits, fingerprint: first});
      day.advance(300);
      expect(day.harness.placementOf('again')).not.toBeNull();
      const {returned, refusedAgain} = day.harness.queue.returnCounts;
      expect({returned, refusedAgain}).toEqual({returned: 1, refusedAgain: 0});
    });

    it('wait for a gap as long as they can, as they come back once', () => {
      const day = new Day();
      const ids = overload(day, 60);
      const last = ids.at(-1)!;
      day.advance(day.retryAfterMs(last));
      // New requests of a higher tier take nearly all room.
      for (let step = 0; step < 12; step++) {
        for (let i = 0; i < 2; i++)
          day.submit(`high-${step}-${i}`, {tier: 0, patienceLeftMs: 300});
        if (step === 4) day.submit('again', {fingerprint: last});
        day.advance(50);
      }
      expect(day.harness.refusalOf('again')).toBeNull();
      day.advance(1_000);
      expect(day.harness.placementOf('again')).not.toBeNull();
    });

    it('are as new requests if they come sooner', () => {
      const day = new Day();
      const [first] = overload(day, 30);
      day.submit('again', {patienceLeftMs: 500, fingerprint: first});
      const {OVERLOADED} = QUEUE_REFUSAL;
      expect(day.harness.refusalOf('again')).toBe(OVERLOADED);
      expect(day.harness.queue.returnCounts.returned).toBe(0);
    });

    it('never wait behind a lower tier', () => {
      const day = new Day();
      const [first] = overload(day, 30);
      day.advance(day.retryAfterMs(first!));
      for (let i = 0; i < 4; i++) day.submit(`running-${i}`);
      day.submit('again', {tier: 2, fingerprint: first});
      day.submit('high', {tier: 0});
      day.harness.end('running-0', 'completed', RUN_MS);
      expect(day.harness.placementOf('again')).toBeNull();
      expect(day.harness.placementOf('high')).not.toBeNull();
    });
  });
});

describe('ReturnSchedule', () => {
  const wish = {tier: 0, earliestMs: 1_000, latestMs: 4_000, perMs: 0.04};

  it('promises a part of the room, one caller after another', () => {
    const schedule = new ReturnSchedule();
    const booked = Array.from({length: 60}, () => schedule.book(wish, 0));
    expect(booked.slice(0, 3).map(({afterMs}) => afterMs)).toEqual([
      1_000, 1_100, 1_200,
    ]);
    expect(booked.filter(({isPromised}) => isPromised)).toHaveLength(31);
    const others = booked.slice(31).map(({afterMs}) => afterMs);
    expect(new Set(others).size).toBe(29);
    expect(Math.min(...others)).toBeGreaterThanOrEqual(3_250);
    expect(Math.max(...others)).toBeLessThanOrEqual(4_000);
  });

  it('promises nothing where no room can be foreseen', () => {
    const schedule = new ReturnSchedule();
    const told = {afterMs: 1_000, isPromised: false};
    expect(schedule.book({...wish, perMs: 0}, 0)).toEqual(told);
  });
});

describe('StartAllowance', () => {
  it('learns how much longer than at best most starts take', () => {
    const allowance = new StartAllowance();
    for (let i = 0; i < 500; i++) allowance.observe(100, 100 + (i % 10) * 50);
    expect(allowance.allowanceMs(100, 5_000)).toBeGreaterThan(400);
    expect(allowance.allowanceMs(100, 5_000)).toBeLessThan(600);
  });

  it('leaves a caller most of its patience, however slow starts are', () => {
    const allowance = new StartAllowance();
    for (let i = 0; i < 500; i++) allowance.observe(100, 60_000);
    expect(allowance.allowanceMs(300, 2_000)).toBe(800);
  });
});
