import {describe, expect, it} from 'vitest';
import {endableCount, latestStartMs, RunTimes} from './stop_policy.js';
import type {Route} from './types.js';

const IDEMPOTENT = {name: 'read', kind: 'idempotent'} as Route;
const ONCE = {name: 'book', kind: 'non_idempotent'} as Route;

describe('the latest start of a request while a gateway stops', () => {
  it.each([
    ['fits', 5_000, 10_000, 2_000, 3_000],
    ['just fits', 2_000, 10_000, 2_000, 0],
    ['is too long', 1_000, 10_000, 2_000, -1_000],
    ['has a time limit that fits', 1_000, 900, 2_000, Infinity],
    ['is of an unknown length', 5_000, 6_000, null, -1_000],
    ['is of an unknown length, but fits', 5_000, 4_000, null, Infinity],
    ['begins while nothing stops', Infinity, 10_000, 2_000, Infinity],
  ])('is known for one that %s', (_name, grace, limit, run, latest) => {
    const inputs = {
      graceLeftMs: grace,
      timeLimitLeftMs: limit,
      expectedRunMs: run,
    };
    expect(latestStartMs(inputs)).toBe(latest);
  });
});

describe('RunTimes', () => {
  const timesOf = (route: Route, times: readonly number[]): RunTimes => {
    const runTimes = new RunTimes();
    for (const ms of times) runTimes.record(route, ms);
    return runTimes;
  };
  const HUNDRED = Array.from({length: 100}, (_, i) => i + 1);

  it('knows nothing of a route without requests', () => {
    expect(new RunTimes().expectedMs(ONCE)).toBe(null);
    expect(timesOf(ONCE, [5]).expectedMs(IDEMPOTENT)).toBe(null);
  });

  it('doubles the longest of few', () => {
    expect(timesOf(IDEMPOTENT, [5, 40, 10]).expectedMs(IDEMPOTENT)).toBe(80);
  });

  it('expects the usual time of what may be repeated', () => {
    // The last 64 are 37 to 100.
    expect(timesOf(IDEMPOTENT, HUNDRED).expectedMs(IDEMPOTENT)).toBe(97);
  });

  it('expects the longest of the latest times of what may run once', () => {
    const times = [900, ...HUNDRED];
    expect(timesOf(ONCE, times).expectedMs(ONCE)).toBe(100);
  });
});

describe('the number of requests that a process which stops can still answer', () => {
  const WHOLE_CORE = {coreShare: 1, longestStallMs: 0, endCostMs: 0.5};

  it('is large up to the last responses if it has a whole core', () => {
    // So many requests would take a second of processor time to end.
    expect(endableCount({...WHOLE_CORE, leftMs: 2_200})).toBeGreaterThan(2_000);
    expect(endableCount({...WHOLE_CORE, leftMs: 600})).toBe(500);
  });

  it('shrinks with what the process gets of a core', () => {
    const counts = [1, 0.12, 0.06, 0.01].map(coreShare =>
      endableCount({...WHOLE_CORE, leftMs: 2_100, coreShare}),
    );
    expect(counts).toEqual([2_000, 240, 120, 20]);
  });

  it('leaves out the time of further stalls', () => {
    const inputs = {...WHOLE_CORE, leftMs: 2_100, longestStallMs: 90};
    expect(endableCount(inputs)).toBe(1_730);
    expect(endableCount({...inputs, longestStallMs: 450})).toBe(650);
  });

  it('is not none for a single long stall, with seconds left', () => {
    const inputs = {...WHOLE_CORE, coreShare: 0.25, longestStallMs: 1_900};
    expect(endableCount({...inputs, leftMs: 5_600})).toBe(1_000);
  });

  it('falls with what each of them takes', () => {
    const inputs = {...WHOLE_CORE, leftMs: 2_100, endCostMs: 2};
    expect(endableCount(inputs)).toBe(500);
  });

  it('is none when no time is left', () => {
    expect(endableCount({...WHOLE_CORE, leftMs: 50})).toBe(0);
    expect(endableCount({...WHOLE_CORE, leftMs: -50})).toBe(0);
  });
});
