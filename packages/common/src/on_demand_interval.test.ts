import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {OnDemandInterval} from './on_demand_interval.js';

const INTERVAL_MS = 10;

describe('OnDemandInterval', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('calls for as long as it is told to go on, and again after a start', () => {
    let left = 2;
    const interval = new OnDemandInterval(INTERVAL_MS, () => --left > 0);
    expect(vi.getTimerCount()).toBe(0);
    expect(interval.start()).toBe(true);
    expect(interval.start()).toBe(false);
    vi.advanceTimersByTime(5 * INTERVAL_MS);
    expect(left).toBe(0);
    expect(vi.getTimerCount()).toBe(0);
    left = 1;
    expect(interval.start()).toBe(true);
    vi.advanceTimersByTime(INTERVAL_MS);
    expect(left).toBe(0);
  });

  it('does not start again once it is closed', () => {
    const interval = new OnDemandInterval(INTERVAL_MS, () => true);
    interval.start();
    interval.close();
    expect(interval.start()).toBe(false);
    expect(vi.getTimerCount()).toBe(0);
  });
});
