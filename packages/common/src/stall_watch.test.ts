import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {STALL_WATCH_INTERVAL_MS, StallWatch} from './stall_watch.js';

const STALL_MS = 900;

describe('the watch for stalls', () => {
  let nowMs: number;
  let watch: StallWatch;

  beforeEach(() => {
    vi.useFakeTimers();
    nowMs = 0;
    watch = new StallWatch({monotonicMs: () => nowMs, wallMs: () => 0});
  });

  afterEach(() => {
    watch.close();
    vi.useRealTimers();
  });

  /** Lets time pass in which the process runs. */
  const run = (ms: number): void => {
    for (let i = 0; i < ms; i++) {
      nowMs++;
      vi.advanceTimersByTime(1);
    }
  };

  it.each([0, 1, 99, 100, 1_050])(
    'tells no lateness of a process that has run for %i ms',
    ms => {
      run(ms);
      expect(watch.latenessMs).toBe(0);
    },
  );

  describe('after a stall', () => {
    beforeEach(() => {
      run(1_000);
      nowMs += STALL_MS;
    });

    it('tells about its length before timers have run', () => {
      const {latenessMs} = watch;
      expect(latenessMs).toBeLessThanOrEqual(STALL_MS);
      expect(latenessMs).toBeGreaterThanOrEqual(
        STALL_MS - 2 * STALL_WATCH_INTERVAL_MS,
      );
    });

    it('tells it also once they have', () => {
      vi.advanceTimersByTime(STALL_WATCH_INTERVAL_MS);
      expect(watch.latenessMs).toBeGreaterThanOrEqual(
        STALL_MS - 2 * STALL_WATCH_INTERVAL_MS,
      );
    });

    it('tells nothing when it is over', () => {
      run(5 * STALL_WATCH_INTERVAL_MS);
      expect(watch.latenessMs).toBe(0);
    });
  });
});
