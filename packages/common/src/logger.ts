import bunyan from 'bunyan';
import type {LOG_LEVEL} from './constants.js';
import type {LogFields, Logger, LogValue, ValueOf} from './types.js';

/** Least severe level that a logger writes. */
export type LogLevel = ValueOf<typeof LOG_LEVEL>;

const BUNYAN_KEYS = new Set(['name', 'hostname', 'pid', 'v', 'level', 'msg']);
const NEEDS_QUOTES = /[\s="\\]|^$/;

function formatValue(value: LogValue | Date): string {
  const text = value instanceof Date ? value.toISOString() : String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Formats a bunyan record as one line of key=value pairs. */
export function formatRecord(record: Record<string, unknown>): string {
  const parts = [
    `time=${formatValue(record['time'] as Date)}`,
    `level=${bunyan.nameFromLevel[record['level'] as number] ?? 'info'}`,
    `event=${formatValue(record['msg'] as string)}`,
  ];
  for (const [key, value] of Object.entries(record)) {
    if (BUNYAN_KEYS.has(key) || key === 'time' || value === undefined) continue;
    parts.push(`${key}=${formatValue(value as LogValue)}`);
  }
  return parts.join(' ');
}

/** Creates a logger that writes a line of key=value pairs for each event. */
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
