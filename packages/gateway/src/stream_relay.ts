import {RESPONSE_SURVIVAL_MS} from '@fescuespool/coordination';
import type {HttpExchange} from '@fescuespool/transport';
import {writeWithBackpressure} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import type {StreamEvent} from './event_splitter.js';
import {EventSplitter} from './event_splitter.js';

/** Progress of a stream, across all upstreams that have run it. */
export interface StreamProgress {
  /** Identifier of the last event that the caller has received. */
  lastEventId: string | null;
  /**
   * Software version that began the stream, the only one that can go on; null
   * before its first event, or if it is not known.
   */
  softwareVersion: string | null;
  /** Whether the response head has been sent to the caller. */
  hasSentHead: boolean;
  /** Milliseconds from the request to its first event; null until then. */
  firstEventMs: number | null;
  /** Whether an upstream has gone on after it had begun the response. */
  hasSurvived: boolean;
}

/** How the relay of one upstream's stream ended. */
export type RelayEnd = 'complete' | 'broken' | 'caller_gone';

/** Result of relaying one upstream's stream. */
export interface RelayResult {
  readonly end: RelayEnd;
  readonly eventCount: number;
  /** Mean milliseconds between two events; null with fewer than two. */
  readonly eventGapMs: number | null;
}

/** Destination, callbacks and limits of `relayStream`. */
export interface RelayOptions {
  readonly res: ServerResponse;
  readonly progress: StreamProgress;
  readonly nowMs: () => number;
  /**
   * Called after `onFirstEvent`, before that event is sent on; delays it until it
   * resolves.
   */
  readonly beforeFirstEvent: () => Promise<void>;
  /** Sends the response head, before the first event or an empty end. */
  readonly writeHead: () => void;
  readonly onFirstEvent: () => void;
  /** Called for events that arrive RESPONSE_SURVIVAL_MS after the first one. */
  readonly onSurvival: () => void;
  /** Called when events with content have arrived. */
  readonly onContent: () => void;
  /** Called when the caller has taken them. */
  readonly onWritten: () => void;
}

/**
 * Forwards complete events as they arrive. A partial event never reaches the
 * caller, so that another upstream can resume after the last complete one.
 */
export async function relayStream(
  exchange: HttpExchange,
  options: RelayOptions,
): Promise<RelayResult> {
  const {res, progress, nowMs} = options;
  const splitter = new EventSplitter();
  let eventCount = 0;
  let firstAtMs = 0;
  let lastAtMs = 0;
  const createResult = (end: RelayEnd): RelayResult => ({
    end,
    eventCount,
    eventGapMs:
      eventCount < 2 ? null : (lastAtMs - firstAtMs) / (eventCount - 1),
  });
  // Comments are forwarded, but a stalled upstream may send them for ever.
  const recordEvents = (count: number): void => {
    if (count === 0) return;
    options.onContent();
    lastAtMs = nowMs();
    if (eventCount === 0) {
      firstAtMs = lastAtMs;
      options.onFirstEvent();
    }
    if (lastAtMs - firstAtMs >= RESPONSE_SURVIVAL_MS) options.onSurvival();
    eventCount += count;
  };
  try {
    for await (const chunk of exchange.res as AsyncIterable<Buffer>) {
      const newEvents = splitter
        .push(chunk)
        .filter(event => isAfter(event, progress.lastEventId));
      if (newEvents.length === 0) {
        if (splitter.isSpoilt) return createResult('broken');
        continue;
      }
      const contentCount = newEvents.filter(event => event.hasContent).length;
      const isFirst = eventCount === 0 && contentCount > 0;
      recordEvents(contentCount);
      if (isFirst) await options.beforeFirstEvent();
      if (!progress.hasSentHead) {
        options.writeHead();
        progress.hasSentHead = true;
      }
      for (const {id} of newEvents)
        progress.lastEventId = id ?? progress.lastEventId;
      const bytes = Buffer.concat(newEvents.map(event => event.bytes));
      if (!(await writeWithBackpressure(res, bytes))) {
        return createResult('caller_gone');
      }
      if (contentCount > 0) options.onWritten();
      if (splitter.isSpoilt) return createResult('broken');
    }
    if (!exchange.res.complete || exchange.hasFailed()) {
      return createResult('broken');
    }
    // A stream may end without the blank line that completes its last event;
    // that event has not been forwarded.
    if (splitter.pendingBytes > 0) return createResult('broken');
    // An upstream that crashes before its first event ends its connection too.
    if (eventCount === 0 && exchange.isDelimitedByClose) {
      return createResult('broken');
    }
    if (!progress.hasSentHead) options.writeHead();
    progress.hasSentHead = true;
    return createResult('complete');
  } catch {
    // The connection broke or was aborted; the caller of this function decides
    // whether to retry.
    return createResult('broken');
  }
}

/** Whether an event follows the last one that the caller has received. */
function isAfter(event: StreamEvent, lastEventId: string | null): boolean {
  if (event.id === null || lastEventId === null) return true;
  const id = Number(event.id);
  const last = Number(lastEventId);
  return !Number.isInteger(id) || !Number.isInteger(last) || id > last;
}
