import {MS_PER_SECOND} from './constants.js';
import type {Clock, LogFields, Logger} from './types.js';

interface EventWindow {
  startedAtMs: number;
  lines: number;
  leftOut: number;
}

/**
 * Limits the log lines of each event to a number per second. The number of
 * lines left out is logged before the next line of that event.
 */
export function limitEventRate(
  log: Logger,
  clock: Clock,
  maxPerSecond: number,
): Logger {
  const windows = new Map<string, EventWindow>();
  const limited =
    (write: (event: string, fields?: LogFields) => void) =>
    (event: string, fields: LogFields = {}): void => {
      const now = clock.monotonicMs();
      let window = windows.get(event);
      if (!window) {
        window = {startedAtMs: now, lines: 0, leftOut: 0};
        windows.set(event, window);
      }
      if (now - window.startedAtMs >= MS_PER_SECOND) {
        if (window.leftOut > 0) {
          log.warn('log_lines_left_out', {of: event, count: window.leftOut});
        }
        window.startedAtMs = now;
        window.lines = 0;
        window.leftOut = 0;
      }
      if (window.lines >= maxPerSecond) {
        window.leftOut++;
        return;
      }
      window.lines++;
      write(event, fields);
    };
  return {
    debug: limited(log.debug),
    info: limited(log.info),
    warn: limited(log.warn),
    error: limited(log.error),
  };
}
