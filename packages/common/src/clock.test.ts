import {describe, expect, it} from 'vitest';
import {createBootClock} from './clock.js';

describe('createBootClock', () => {
  const time = {monotonic: 100, wall: 1_000_000, uptime: 5_000};
  const clock = {
    monotonicMs: () => time.monotonic,
    wallMs: () => time.wall,
  };

  function advance(ms: number): void {
    time.monotonic += ms;
    time.wall += ms;
    time.uptime += ms;
  }

  it('counts the time of a suspension, in which the monotonic clock stops', () => {
    const now = createBootClock(clock, () => time.uptime);
    const start = now();
    advance(1_000);
    time.wall += 4_000;
    time.uptime += 4_000;
    expect(now() - start).toBe(5_000);
  });

  it('ignores a step of the wall clock', () => {
    const now = createBootClock(clock, () => time.uptime);
    const start = now();
    advance(1_000);
    time.wall += 2_400;
    expect(now() - start).toBe(1_000);
    advance(500);
    time.wall -= 2_400;
    expect(now() - start).toBe(1_500);
  });
});
