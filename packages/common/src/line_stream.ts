import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Most bytes of lines that wait to be written. */
const MAX_WAITING_BYTES = 1_048_576;

/** Time in milliseconds in which lines are gathered for one write. */
const GATHER_MS = 50;

/** A stream of lines whose writes never block. */
export interface LineStream extends NodeJS.WritableStream {
  /** Resolves once the lines so far are written, or can't be. */
  readonly flushed: () => Promise<void>;
}

/**
 * Writes lines to a file descriptor off the main thread. A pipe whose reader has
 * stopped makes lines wait up to a bound; what is beyond it is dropped and
 * counted in a line of its own.
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
        // Nobody reads any more; later lines are tried again.
        finish();
        return;
      }
      const rest = data.subarray(error ? 0 : written);
      if (rest.length === 0) finish();
      else if (error) setTimeout(() => writeAll(rest), GATHER_MS).unref();
      else writeAll(rest);
    });
  };
  const finish = (): void => {
    isWriting = false;
    if (waiting.length > 0) schedule();
    else for (const tell of waiters.splice(0)) tell();
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
    timer ??= setTimeout(flush, GATHER_MS);
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
