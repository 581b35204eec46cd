import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from './types.js';

/** The clock of this machine. */
export const SYSTEM_CLOCK: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Disagreement in milliseconds of two clocks that tells a suspension. */
const SUSPENSION_GAP_MS = 150;

/**
 * Makes a clock in milliseconds that also counts while the VM is suspended. The
 * monotonic clock stands still then; the time of day jumps, but may do so for
 * other reasons as well, so the uptime decides.
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
    const presentDrift = clock.wallMs() - now;
    if (Math.abs(presentDrift - drift) > SUSPENSION_GAP_MS) {
      drift = presentDrift;
      const passedMs = now - startMs;
      const missedMs = uptimeMs() - startUptimeMs - passedMs;
      suspendedMs = Math.max(suspendedMs, missedMs);
    }
    return now + suspendedMs;
  };
}

/** Waits for a duration in milliseconds; resolves early when aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, {signal, ref: true});
  } catch {
    // An abort ends the wait early; the caller checks its own signal.
  }
}

/** Random duration in milliseconds between half and all of a base. */
export function jitterMs(baseMs: number, random = Math.random): number {
  return baseMs * (0.5 + random() / 2);
}
