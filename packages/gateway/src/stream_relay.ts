import type {HttpExchange} from '@fescuespool/transport';
import {writeWithBackpressure} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import type {StreamEvent} from './event_splitter.js';
import {EventSplitter} from './event_splitter.js';

/** How far a stream has come, over all upstreams that have run it. */
export interface StreamProgress {
  /** Identifier of the last event that the caller has. */
  lastEventId: string | null;
  /** Whether the head of the answer has been sent to the caller. */
  hasSentHead: boolean;
  /** Milliseconds from the request to its first event; null before it. */
  firstEventMs: number | null;
}

/** How the relay of one upstream's stream ended. */
export type RelayEnd = 'complete' | 'broken' | 'silent' | 'caller_gone';

/** What came of the relay of one upstream's stream. */
export interface RelayResult {
  readonly end: RelayEnd;
  readonly eventCount: number;
  /** Mean milliseconds between two events; null with fewer than two. */
  readonly eventGapMs: number | null;
}

/** What the relay of a stream needs. */
export interface RelayOptions {
  readonly res: ServerResponse;
  readonly progress: StreamProgress;
  readonly nowMs: () => number;
  /** Sends the head of the answer, before its first event. */
  readonly writeHead: () => void;
  readonly onFirstEvent: () => void;
  /** Silence in milliseconds that ends the relay; null where it may last. */
  readonly idleTimeoutMs: number | null;
}

/**
 * Passes whole events on as they arrive. An event that breaks off never reaches
 * the caller, so that another upstream can go on after the last whole one.
 */
export async function relayStream(
  exchange: HttpExchange,
  options: RelayOptions,
): Promise<RelayResult> {
  const {res, progress: position, nowMs, idleTimeoutMs: silenceMs} = options;
  const splitter = new EventSplitter();
  let events = 0;
  let firstAtMs = 0;
  let lastAtMs = 0;
  let isSilent = false;
  let timer: NodeJS.Timeout | null = null;
  const result = (end: RelayEnd): RelayResult => ({
    end,
    eventCount: events,
    eventGapMs: events < 2 ? null : (lastAtMs - firstAtMs) / (events - 1),
  });
  if (silenceMs !== null) {
    timer = setTimeout(() => {
      isSilent = true;
      exchange.abort();
    }, silenceMs);
  }
  try {
    for await (const chunk of exchange.res as AsyncIterable<Buffer>) {
      const fresh = splitter
        .push(chunk)
        .filter(event => isAfter(event, position.lastEventId));
      if (fresh.length === 0) continue;
      timer?.refresh();
      lastAtMs = nowMs();
      if (events === 0) {
        firstAtMs = lastAtMs;
        options.onFirstEvent();
      }
      events += fresh.length;
      if (!position.hasSentHead) {
        options.writeHead();
        position.hasSentHead = true;
      }
      position.lastEventId = fresh.at(-1)?.id ?? position.lastEventId;
      const bytes = Buffer.concat(fresh.map(event => event.bytes));
      if (!(await writeWithBackpressure(res, bytes))) {
        return result('caller_gone');
      }
    }
    if (!exchange.res.complete || exchange.hasFailed()) {
      return result('broken');
    }
    // A stream may end without a blank line after its last event.
    if (splitter.pendingBytes > 0) return result('broken');
    if (!position.hasSentHead) options.writeHead();
    position.hasSentHead = true;
    return result('complete');
  } catch {
    // The connection broke; the caller of this function says what follows.
    return result(isSilent ? 'silent' : 'broken');
  } finally {
    if (timer) clearTimeout(timer);
  }
}

/** Whether an event comes after the last one that the caller has. */
function isAfter(event: StreamEvent, lastEventId: string | null): boolean {
  if (event.id === null || lastEventId === null) return true;
  const id = Number(event.id);
  const last = Number(lastEventId);
  return !Number.isInteger(id) || !Number.isInteger(last) || id > last;
}
