import {RESPONSE_SURVIVAL_MS} from '@fescuespool/coordination';
import type {HttpExchange} from '@fescuespool/transport';
import {isWholeResponse, whenDrained} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import type {StreamEvent} from './event_splitter.js';
import {EventSplitter} from './event_splitter.js';
import type {BudgetShare} from './caller_budget.js';

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
  /** Longest milliseconds between two events; null before the second one. */
  longestGapMs: number | null;
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
  /** Aborted when the request can't be served any more; aborts the exchange too. */
  readonly signal: AbortSignal;
  /** Charged with the bytes of an event that is not complete. */
  readonly share: BudgetShare;
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
export function relayStream(
  exchange: HttpExchange,
  options: RelayOptions,
): Promise<RelayResult> {
  return new StreamRelay(exchange, options).run();
}

/**
 * Relays one upstream's stream. Listens to events instead of iterating, which
 * costs several promises for each chunk.
 */
class StreamRelay {
  private readonly splitter = new EventSplitter();
  private eventCount = 0;
  private firstAtMs = 0;
  private lastAtMs = 0;
  private hasEnded = false;
  /** Whether the upstream's response ended without a loss; null until it ends. */
  private endsOrderly: boolean | null = null;
  /** Whether a chunk waits to be forwarded. */
  private isWaiting = false;
  private resolve: (result: RelayResult) => void = () => undefined;

  constructor(
    private readonly exchange: HttpExchange,
    private readonly options: RelayOptions,
  ) {}

  run(): Promise<RelayResult> {
    const {res} = this.exchange;
    return new Promise(resolve => {
      this.resolve = resolve;
      res.on('data', (chunk: Buffer) => this.receive(chunk));
      res.once('end', () => this.handleSourceEnd(true));
      // The connection broke or was aborted; whoever called decides whether to
      // retry. The listener stays, as an error may follow.
      res.on('error', () => this.handleSourceEnd(false));
      res.once('close', () => this.handleSourceEnd(false));
      this.options.signal.addEventListener('abort', this.handleAbort);
      if (res.destroyed) this.finish('broken');
    });
  }

  /** Notes the end; the last bytes may still wait to be forwarded. */
  private handleSourceEnd(isOrderly: boolean): void {
    this.endsOrderly ??= isOrderly;
    if (!this.isWaiting) this.finishAtSourceEnd();
  }

  /** Ends the wait for a caller that does not read. */
  private readonly handleAbort = (): void => {
    if (this.isWaiting) this.finish('broken');
  };

  private finishAtSourceEnd(): void {
    this.finish(this.endsOrderly ? this.judgeEnd() : 'broken');
  }

  private receive(chunk: Buffer): void {
    if (this.hasEnded) return;
    try {
      const isForwarded = this.forward(chunk);
      if (isForwarded === true) return;
      this.isWaiting = true;
      this.exchange.res.pause();
      void isForwarded.then(
        () => this.goOn(),
        () => this.finish('broken'),
      );
    } catch {
      this.finish('broken');
    }
  }

  private goOn(): void {
    this.isWaiting = false;
    if (this.hasEnded) return;
    if (this.endsOrderly !== null) this.finishAtSourceEnd();
    else this.exchange.res.resume();
  }

  /**
   * Forwards the events that a chunk completes; returns true, or a promise if it
   * has to wait.
   */
  private forward(chunk: Buffer): true | Promise<void> {
    const {splitter} = this;
    const {lastEventId} = this.options.progress;
    const events = splitter.push(chunk).filter(e => isAfter(e, lastEventId));
    this.options.share.resize(splitter.capacity);
    if (events.length === 0) {
      if (splitter.isSpoilt) this.finish('broken');
      return true;
    }
    const contentCount = events.filter(event => event.hasContent).length;
    const isFirst = this.eventCount === 0 && contentCount > 0;
    this.recordEvents(contentCount);
    if (!isFirst) return this.write(events, contentCount);
    return this.options.beforeFirstEvent().then(async () => {
      if (!this.hasEnded) await this.write(events, contentCount);
    });
  }

  // Comments are forwarded, but a stalled upstream may send them for ever.
  private recordEvents(count: number): void {
    if (count === 0) return;
    const {options} = this;
    options.onContent();
    const beforeMs = this.lastAtMs;
    this.lastAtMs = options.nowMs();
    if (this.eventCount > 0) this.recordGap(this.lastAtMs - beforeMs);
    else {
      this.firstAtMs = this.lastAtMs;
      options.onFirstEvent();
    }
    const sinceFirstMs = this.lastAtMs - this.firstAtMs;
    if (sinceFirstMs >= RESPONSE_SURVIVAL_MS) options.onSurvival();
    this.eventCount += count;
  }

  private recordGap(gapMs: number): void {
    const {progress} = this.options;
    const longestMs = Math.max(progress.longestGapMs ?? 0, gapMs);
    progress.longestGapMs = Math.round(longestMs);
  }

  private write(
    events: readonly StreamEvent[],
    contentCount: number,
  ): true | Promise<void> {
    const {res, progress} = this.options;
    this.sendHead();
    for (const {id} of events)
      progress.lastEventId = id ?? progress.lastEventId;
    const [first] = events;
    const bytes =
      events.length === 1 && first
        ? first.bytes
        : Buffer.concat(events.map(event => event.bytes));
    if (!res.destroyed && res.write(bytes)) {
      this.handleWritten(contentCount);
      return true;
    }
    return whenDrained(res).then(isOpen => {
      if (isOpen) this.handleWritten(contentCount);
      else this.finish('caller_gone');
    });
  }

  private handleWritten(contentCount: number): void {
    if (contentCount > 0) this.options.onWritten();
    if (this.splitter.isSpoilt) this.finish('broken');
  }

  private sendHead(): void {
    const {progress, writeHead} = this.options;
    if (!progress.hasSentHead) writeHead();
    progress.hasSentHead = true;
  }

  private judgeEnd(): RelayEnd {
    const {isDelimitedByClose} = this.exchange;
    if (!isWholeResponse(this.exchange)) return 'broken';
    // A stream may end without the blank line that completes its last event;
    // that event has not been forwarded.
    if (this.splitter.pendingBytes > 0) return 'broken';
    // An upstream that crashes before its first event ends its connection too.
    if (this.eventCount === 0 && isDelimitedByClose) return 'broken';
    return 'complete';
  }

  private finish(end: RelayEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.options.signal.removeEventListener('abort', this.handleAbort);
    this.options.share.release();
    if (end === 'complete') this.sendHead();
    const {eventCount, firstAtMs, lastAtMs} = this;
    const eventGapMs =
      eventCount < 2 ? null : (lastAtMs - firstAtMs) / (eventCount - 1);
    this.resolve({end, eventCount, eventGapMs});
  }
}

/** Whether an event follows the last one that the caller has received. */
function isAfter(event: StreamEvent, lastEventId: string | null): boolean {
  if (event.id === null || lastEventId === null) return true;
  const id = Number(event.id);
  const last = Number(lastEventId);
  return !Number.isInteger(id) || !Number.isInteger(last) || id > last;
}
