import {MAX_EVENT_BYTES} from './constants.js';

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;
const LF_END = Buffer.from('\n\n');
const CRLF_END = Buffer.from('\r\n\r\n');

/** A whole event of a stream, with its identifier where it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | null;
}

/** Cuts a stream of server-sent events into whole events. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Takes bytes and returns the events that are whole now. */
  push(chunk: Buffer): StreamEvent[] {
    let rest =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    for (let end = endOfEvent(rest); end > 0; end = endOfEvent(rest)) {
      const bytes = rest.subarray(0, end);
      events.push({bytes, id: idOf(bytes)});
      rest = rest.subarray(end);
    }
    if (rest.length > MAX_EVENT_BYTES) throw new RangeError('event too long');
    this.pending = rest;
    return events;
  }

  /** Takes out what follows the last whole event. */
  flush(): Buffer {
    const rest = this.pending;
    this.pending = Buffer.alloc(0);
    return rest;
  }
}

function endOfEvent(bytes: Buffer): number {
  const lf = bytes.indexOf(LF_END);
  const crlf = bytes.indexOf(CRLF_END);
  if (lf < 0) return crlf < 0 ? 0 : crlf + CRLF_END.length;
  if (crlf < 0 || lf < crlf) return lf + LF_END.length;
  return crlf + CRLF_END.length;
}

function idOf(event: Buffer): string | null {
  return ID_LINE.exec(event.toString('latin1'))?.[1] ?? null;
}
