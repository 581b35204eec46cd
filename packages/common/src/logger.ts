import bunyan from 'bunyan';
import type {LOG_LEVEL} from './constants.js';
import type {LogFields, Logger, LogValue, ValueOf} from './types.js';

/** Level below which events are not written. */
export type LogLevel = ValueOf<typeof LOG_LEVEL>;

const RECORD_KEYS = new Set(['name', 'hostname', 'pid', 'v', 'level', 'msg']);
const NEEDS_QUOTES = /[\s="\\]|^$/;

function formatValue(value: LogValue | Date): string {
  const text = value instanceof Date ? value.toISOString() : String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Formats a bunyan record as one key=value line. */
export function formatRecord(record: Record<string, unknown>): string {
  const parts = [
    `time=${formatValue(record['time'] as Date)}`,
    `level=${bunyan.nameFromLevel[record['level'] as number] ?? 'info'}`,
    `event=${formatValue(record['msg'] as string)}`,
  ];
  for (const [key, value] of Object.entries(record)) {
    if (RECORD_KEYS.has(key) || key === 'time' || value === undefined) continue;
    parts.push(`${key}=${formatValue(value as LogValue)}`);
  }
  return parts.join(' ');
}

/** Makes a logger that writes key=value lines to a stream. */
export function createLogger(
  name: string,
  level: LogLevel,
  stream: NodeJS.WritableStream = process.stderr,
): Logger {
  const log = bunyan.createLogger({
    name,
    streams: [
      {
        level,
        type: 'raw',
        stream: {
          write: (record: Record<string, unknown>) =>
            stream.write(`${formatRecord(record)}\n`),
        } as unknown as NodeJS.WritableStream,
      },
    ],
  });
  return {
    debug: (event, fields: LogFields = {}) => log.debug(fields, event),
    info: (event, fields: LogFields = {}) => log.info(fields, event),
    warn: (event, fields: LogFields = {}) => log.warn(fields, event),
    error: (event, fields: LogFields = {}) => log.error(fields, event),
  };
}
