import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from './types.js';

/** The clock of this machine. */
export const SYSTEM_CLOCK: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

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
