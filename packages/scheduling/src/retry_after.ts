import {
  MAX_RETRY_AFTER_MS,
  MIN_OVERLOAD_RETRY_AFTER_MS,
  RETRY_AFTER_WAIT_FACTOR,
} from './constants.js';
import type {PlacementRate} from './placement_rate.js';

/**
 * Milliseconds after which a refused caller may come back, given the expected wait
 * of its request.
 */
export function retryAfterMs(
  waitMs: number,
  {heldGateway, firstInMs}: PlacementRate,
): number {
  // The end of a pause is known, unlike that of other waits.
  const knownMs = heldGateway === null ? 0 : Math.min(firstInMs, waitMs);
  const afterMs = knownMs + RETRY_AFTER_WAIT_FACTOR * (waitMs - knownMs);
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_OVERLOAD_RETRY_AFTER_MS, Math.ceil(afterMs)),
  );
}
