import {
  EVENT_GAP_TIMEOUT_FACTOR,
  MIN_CALL_START_TIMEOUT_MS,
  MIN_STREAM_EVENT_TIMEOUT_MS,
  MIN_STREAM_START_TIMEOUT_MS,
  START_TIMEOUT_FACTOR,
} from './constants.js';
import {isStream} from './open_request.js';
import type {Route} from './types.js';

/**
 * Milliseconds after which an upstream that has not begun its response counts as
 * silent, from those that it was expected to take.
 */
export function startTimeoutMs(route: Route, expectedStartMs: number): number {
  const minTimeoutMs = isStream(route)
    ? MIN_STREAM_START_TIMEOUT_MS
    : MIN_CALL_START_TIMEOUT_MS;
  return Math.round(
    Math.max(minTimeoutMs, START_TIMEOUT_FACTOR * expectedStartMs),
  );
}

/** Milliseconds without an event after which a stream counts as stalled. */
export function eventTimeoutMs({maxEventGapMs}: Route): number {
  return Math.max(
    MIN_STREAM_EVENT_TIMEOUT_MS,
    EVENT_GAP_TIMEOUT_FACTOR * (maxEventGapMs ?? 0),
  );
}
