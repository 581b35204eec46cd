import {MS_PER_SECOND} from './constants.js';
import type {Clock, LogFields, Logger} from './types.js';

interface Bucket {
  startedAtMs: number;
  lines: number;
  leftOut: number;
}

/**
 * Bounds the lines of each event to a number a second. What is left out is
 * counted by event in the next line that is written of it.
 */
export function limitEventRate(
  log: Logger,
  clock: Clock,
  maxPerSecond: number,
): Logger {
  const buckets = new Map<string, Bucket>();
  const limited =
    (write: (event: string, fields?: LogFields) => void) =>
    (event: string, fields: LogFields = {}): void => {
      const now = clock.monotonicMs();
      let bucket = buckets.get(event);
      if (!bucket) {
        bucket = {startedAtMs: now, lines: 0, leftOut: 0};
        buckets.set(event, bucket);
      }
      if (now - bucket.startedAtMs >= MS_PER_SECOND) {
        if (bucket.leftOut > 0) {
          log.warn('log_lines_left_out', {of: event, count: bucket.leftOut});
        }
        bucket.startedAtMs = now;
        bucket.lines = 0;
        bucket.leftOut = 0;
      }
      if (bucket.lines >= maxPerSecond) {
        bucket.leftOut++;
        return;
      }
      bucket.lines++;
      write(event, fields);
    };
  return {
    debug: limited(log.debug),
    info: limited(log.info),
    warn: limited(log.warn),
    error: limited(log.error),
  };
}
