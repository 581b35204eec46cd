import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import {
  setImmediate as immediate,
  setTimeout as delay,
} from 'node:timers/promises';
import type {Clock} from './types.js';

/** The clock of this machine. */
export const SYSTEM_CLOCK: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Change in clock drift, in milliseconds, that may indicate a suspension. */
const SUSPENSION_GAP_MS = 150;

/**
 * Creates a millisecond clock that also advances while the VM is suspended. The
 * monotonic clock stops during a suspension. The wall clock jumps after one but
 * also for other reasons, so the suspended time is computed from the uptime.
 */
export function createBootClock(
  clock: Clock = SYSTEM_CLOCK,
  uptimeMs: () => number = () => uptime() * 1_000,
): () => number {
  const startMs = clock.monotonicMs();
  const startUptimeMs = uptimeMs();
  let drift = clock.wallMs() - startMs;
  let suspendedMs = 0;
  return () => {
    const now = clock.monotonicMs();
    const currentDrift = clock.wallMs() - now;
    if (Math.abs(currentDrift - drift) > SUSPENSION_GAP_MS) {
      drift = currentDrift;
      const elapsedMs = now - startMs;
      const missedMs = uptimeMs() - startUptimeMs - elapsedMs;
      suspendedMs = Math.max(suspendedMs, missedMs);
    }
    return now + suspendedMs;
  };
}

/** Waits for a duration in milliseconds; resolves early if aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, {signal, ref: true});
  } catch {
    // An abort ends the wait early; the caller checks its own signal.
  }
}

/** Waits until input that has arrived by now was read from all sockets. */
export async function whenInputRead(): Promise<void> {
  // The first one is due before sockets are read again.
  await immediate();
  await immediate();
}

/** Random duration in milliseconds between half of a base and all of it. */
export function jitterMs(baseMs: number, random = Math.random): number {
  return baseMs * (0.5 + random() / 2);
}
