import {describe, expect, it} from 'vitest';
import {StopPace} from './stop_pace.js';

/** Time from one measurement to the next, and processor time in it; in ms. */
type Step = readonly [lengthMs: number, cpuMs: number];

function paceAfter(
  steps: readonly Step[],
  exitAtMs = 30_000,
): StopPace['pace'] {
  let nowMs = 1_000;
  let cpuMs = 50;
  const pace = new StopPace(nowMs, cpuMs, exitAtMs);
  for (const [lengthMs, usedMs] of steps) {
    nowMs += lengthMs;
    cpuMs += usedMs;
    pace.record(nowMs, cpuMs);
  }
  return pace.pace;
}

const times = (count: number, ...steps: Step[]): Step[] =>
  Array.from({length: count}, () => steps).flat();

describe('the pace of a process that stops', () => {
  it('is a whole core before anything was measured', () => {
    expect(paceAfter([])).toEqual({coreShare: 1, longestStallMs: 0});
  });

  it('is a whole core while its timer is in time, however idle it is', () => {
    const pace = paceAfter(times(40, [5, 0.1], [9, 0.2]));
    expect(pace).toEqual({coreShare: 1, longestStallMs: 0});
  });

  it('is a whole core while it works itself', () => {
    const {coreShare} = paceAfter(times(20, [90, 89]));
    expect(coreShare).toBeGreaterThan(0.98);
  });

  it.each([
    ['12 ms of each 100', [100, 12], 0.12, 88],
    ['6 ms of each 100', [100, 6], 0.06, 94],
    ['almost nothing', [300, 1], 0.01, 299],
  ] as const)('is known of one that gets %s', (_name, step, share, stall) => {
    const {coreShare, longestStallMs} = paceAfter(times(10, step));
    expect(coreShare).toBeCloseTo(share, 3);
    expect(longestStallMs).toBe(stall);
  });

  it('follows a change within its window', () => {
    const whole = times(200, [5, 0.3]);
    const scarce = times(8, [100, 10]);
    expect(paceAfter([...whole, ...scarce]).coreShare).toBeCloseTo(0.1, 3);
    const later = paceAfter([
      ...whole,
      ...scarce,
      ...whole,
      ...whole,
      ...whole,
    ]);
    expect(later.coreShare).toBeCloseTo(1, 6);
    expect(later.longestStallMs).toBe(0);
  });

  it('is the worse one of a short and a longer time', () => {
    const whole = times(125, [5, 0.3]);
    const scarce = times(14, [100, 10]);
    const {coreShare, longestStallMs} = paceAfter([...scarce, ...whole]);
    expect(coreShare).toBeLessThan(0.45);
    expect(longestStallMs).toBe(0);
  });

  it('is not judged by a single stall while there is time to wait for another', () => {
    const steps = [...times(200, [5, 0.3]), [700, 1], ...times(20, [5, 0.3])];
    const pace = paceAfter(steps as Step[]);
    expect(pace).toEqual({coreShare: 1, longestStallMs: 0});
  });

  it('is a whole core after a single stall that is all that was measured', () => {
    const steps = [...times(900, [5.1, 0.3]), [2_500.3, 1]];
    const pace = paceAfter(steps as Step[]);
    expect(pace).toEqual({coreShare: 1, longestStallMs: 0});
  });

  it('is judged by the second of two stalls', () => {
    const steps = [...times(200, [5, 0.3]), [700, 1], [5, 0.3], [600, 1]];
    const {coreShare, longestStallMs} = paceAfter(steps as Step[]);
    expect(coreShare).toBeLessThan(0.02);
    expect(longestStallMs).toBe(599);
  });

  it('is judged by a single stall near the end', () => {
    const steps = [...times(200, [5, 0.3]), [700, 1], ...times(20, [5, 0.3])];
    const endMs = 1_000 + 1_000 + 700;
    const near = paceAfter(steps as Step[], endMs + 1_300);
    expect(near.coreShare).toBeLessThan(0.2);
    expect(near.longestStallMs).toBe(699);
  });

  it('is never nothing', () => {
    expect(paceAfter(times(3, [500, 0])).coreShare).toBeGreaterThan(0);
  });
});
