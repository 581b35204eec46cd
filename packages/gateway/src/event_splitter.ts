import {ByteAccumulator} from '@fescuespool/transport';
import {MAX_EVENT_BYTES, MAX_EVENT_CHUNKS} from './constants.js';

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;
const DATA_LINE = /^data:/m;
/** A comment, or a field with or without a value. */
const FIELD_LINE = /^(?::|[A-Za-z][\w-]*(?::|\r?$))/m;
const STATUS_LINE = /^HTTP\/1\.\d \d/m;
const LF = 0x0a;
const LF_TERMINATOR = Buffer.from('\n\n');
const CRLF_TERMINATOR = Buffer.from('\r\n\r\n');

/** A complete server-sent event; `id` is null if it has none. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | null;
  /** Whether it is part of the answer, not a comment that keeps it open. */
  readonly hasContent: boolean;
}

/**
 * Splits a byte stream into complete server-sent events. Each byte is copied and
 * searched a bounded number of times, however small the chunks are.
 */
export class EventSplitter {
  /** Whether bytes that are no event have come; what follows them is ignored. */
  isSpoilt = false;
  /** Beginning of an event; contains no terminator. */
  private readonly pending = new ByteAccumulator();
  private pendingChunks = 0;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Number of bytes that are allocated for them. */
  get capacity(): number {
    return this.pending.capacity;
  }

  /**
   * Appends bytes and returns the events that they complete; throws a
   * RangeError if the incomplete rest exceeds MAX_EVENT_BYTES or came in more
   * than MAX_EVENT_CHUNKS.
   */
  push(chunk: Buffer): StreamEvent[] {
    const {pending} = this;
    const isAlone = pending.length === 0;
    // A terminator may begin in the pending bytes.
    const searchFrom = Math.max(0, pending.length + 1 - CRLF_TERMINATOR.length);
    if (!isAlone) pending.append(chunk);
    const joined = isAlone ? chunk : pending.bytes;
    const ends = chunk.includes(LF) ? eventEnds(joined, searchFrom) : [];
    const events: StreamEvent[] = [];
    if (ends.length > 0 && !isAlone) pending.takeAll();
    let start = 0;
    for (const end of ends) {
      this.addEvent(joined.subarray(start, end), events);
      start = end;
    }
    if (isAlone || ends.length > 0) pending.append(joined.subarray(start));
    this.pendingChunks = ends.length > 0 ? 1 : this.pendingChunks + 1;
    if (pending.length > MAX_EVENT_BYTES) {
      throw new RangeError(`event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    if (this.pendingChunks > MAX_EVENT_CHUNKS) {
      throw new RangeError(`event exceeds ${MAX_EVENT_CHUNKS} chunks`);
    }
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  flush(): Buffer {
    return this.pending.takeAll();
  }

  private addEvent(bytes: Buffer, events: StreamEvent[]): void {
    const event = this.isSpoilt ? null : parseEvent(bytes);
    if (event) events.push(event);
    else this.isSpoilt = true;
  }
}

/** Ends of the events whose terminators begin at `from` or later. */
function eventEnds(bytes: Buffer, from: number): number[] {
  const ends: number[] = [];
  let lf = bytes.indexOf(LF_TERMINATOR, from);
  let crlf = bytes.indexOf(CRLF_TERMINATOR, from);
  while (lf >= 0 || crlf >= 0) {
    const isLf = crlf < 0 || (lf >= 0 && lf < crlf);
    const end = isLf
      ? lf + LF_TERMINATOR.length
      : crlf + CRLF_TERMINATOR.length;
    ends.push(end);
    // Searched again only if it was passed, or each search would read the rest.
    if (lf >= 0 && lf < end) lf = bytes.indexOf(LF_TERMINATOR, end);
    if (crlf >= 0 && crlf < end) crlf = bytes.indexOf(CRLF_TERMINATOR, end);
  }
  return ends;
}

/** Parses an event; null if the bytes are none. */
function parseEvent(bytes: Buffer): StreamEvent | null {
  const text = bytes.toString('latin1');
  // Faulty upstreams write the head or the text of an error into a stream.
  const isEmpty = text.trim() === '';
  if (!isEmpty && (!FIELD_LINE.test(text) || STATUS_LINE.test(text))) {
    return null;
  }
  const id = ID_LINE.exec(text)?.[1] ?? null;
  return {bytes, id, hasContent: id !== null || DATA_LINE.test(text)};
}
