import {MAX_EVENT_BYTES} from './constants.js';

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;
const DATA_LINE = /^data:/m;
/** A comment, or a field with or without a value. */
const FIELD_LINE = /^(?::|[A-Za-z][\w-]*(?::|\r?$))/m;
const STATUS_LINE = /^HTTP\/1\.\d \d/m;
const LF_TERMINATOR = Buffer.from('\n\n');
const CRLF_TERMINATOR = Buffer.from('\r\n\r\n');

/** A complete server-sent event; `id` is null if it has none. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | null;
  /** Whether it is part of the answer, not a comment that keeps it open. */
  readonly hasContent: boolean;
}

/** Splits a byte stream into complete server-sent events. */
export class EventSplitter {
  /** Whether bytes that are no event have come; what follows them is ignored. */
  isSpoilt = false;
  private pending: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /**
   * Appends bytes and returns the events that they complete; throws a
   * RangeError if the incomplete rest exceeds MAX_EVENT_BYTES.
   */
  push(chunk: Buffer): StreamEvent[] {
    let rest =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    for (let end = endOfEvent(rest); end > 0; end = endOfEvent(rest)) {
      const event = this.isSpoilt ? null : parseEvent(rest.subarray(0, end));
      if (event) events.push(event);
      else this.isSpoilt = true;
      rest = rest.subarray(end);
    }
    if (rest.length > MAX_EVENT_BYTES) throw new RangeError('event too long');
    this.pending = rest;
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  flush(): Buffer {
    const rest = this.pending;
    this.pending = Buffer.alloc(0);
    return rest;
  }
}

function endOfEvent(bytes: Buffer): number {
  const lf = bytes.indexOf(LF_TERMINATOR);
  const crlf = bytes.indexOf(CRLF_TERMINATOR);
  if (lf < 0) return crlf < 0 ? 0 : crlf + CRLF_TERMINATOR.length;
  if (crlf < 0 || lf < crlf) return lf + LF_TERMINATOR.length;
  return crlf + CRLF_TERMINATOR.length;
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
