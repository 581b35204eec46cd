import {describe, expect, it} from 'vitest';
import {createBootClock} from './clock.js';

describe('createBootClock', () => {
  const time = {monotonic: 100, wall: 1_000_000, uptime: 5_000};
  const clock = {
    monotonicMs: () => time.monotonic,
    wallMs: () => time.wall,
  };

  function pass(ms: number): void {
    time.monotonic += ms;
    time.wall += ms;
    time.uptime += ms;
  }

  it('counts a suspension, in which the monotonic clock stands still', () => {
    const now = createBootClock(clock, () => time.uptime);
    const start = now();
    pass(1_000);
    time.wall += 4_000;
    time.uptime += 4_000;
    expect(now() - start).toBe(5_000);
  });

  it('does not follow a step of the time of day', () => {
    const now = createBootClock(clock, () => time.uptime);
    const start = now();
    pass(1_000);
    time.wall += 2_400;
    expect(now() - start).toBe(1_000);
    pass(500);
    time.wall -= 2_400;
    expect(now() - start).toBe(1_500);
  });
});
