import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Default limit in bytes on the lines that wait to be written. */
const MAX_WAITING_BYTES = 1_048_576;

/**
 * Time in milliseconds for which lines are batched into one write; also the
 * delay before a write to a full pipe is retried.
 */
const BATCH_DELAY_MS = 50;

/** A stream of lines whose writes never block the caller. */
export interface LineStream extends NodeJS.WritableStream {
  /** Resolves once the lines so far are written or their write has failed. */
  readonly flushed: () => Promise<void>;
}

/**
 * Writes lines to a file descriptor off the main thread. While the reader of a
 * pipe is stalled, lines are buffered up to a limit. Lines beyond it are
 * dropped, and their number is written as a `log_lines_dropped` event.
 */
export function createLineStream(
  fd: number,
  maxWaitingBytes = MAX_WAITING_BYTES,
): LineStream {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  const waiters: Array<() => void> = [];

  const writeAll = (data: Buffer): void => {
    write(fd, data, 0, data.length, null, (error, written) => {
      if (error && error.code !== 'EAGAIN') {
        // The reader is gone: this batch is lost, later lines are tried again.
        finish();
        return;
      }
      const remaining = data.subarray(error ? 0 : written);
      if (remaining.length === 0) finish();
      else if (error)
        setTimeout(() => writeAll(remaining), BATCH_DELAY_MS).unref();
      else writeAll(remaining);
    });
  };
  const finish = (): void => {
    isWriting = false;
    if (waiting.length > 0) schedule();
    else for (const notify of waiters.splice(0)) notify();
  };
  const flush = (): void => {
    timer = null;
    if (isWriting || waiting.length === 0) return;
    if (dropped > 0) waiting.push(`event=log_lines_dropped count=${dropped}\n`);
    const data = Buffer.from(waiting.join(''));
    waiting = [];
    waitingBytes = 0;
    dropped = 0;
    isWriting = true;
    writeAll(data);
  };
  const schedule = (): void => {
    timer ??= setTimeout(flush, BATCH_DELAY_MS);
  };
  const stream = new Writable({
    decodeStrings: false,
    write: (line: string | Buffer, _encoding, done) => {
      const text = line.toString();
      if (waitingBytes + text.length > maxWaitingBytes) dropped++;
      else {
        waiting.push(text);
        waitingBytes += text.length;
        if (!isWriting) schedule();
      }
      done();
    },
  });
  return Object.assign(stream, {
    flushed: () =>
      new Promise<void>(resolve => {
        if (waiting.length === 0 && !isWriting) resolve();
        else waiters.push(resolve);
      }),
  });
}
