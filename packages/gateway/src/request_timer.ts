import type {Clock} from '@fescuespool/common';
import type {ServerResponse} from 'node:http';
import {TIMEOUT_MARGIN_MS} from './constants.js';

/**
 * Time limit of one request. Its signal aborts shortly before the limit or when
 * the caller disconnects, whichever comes first.
 */
export class RequestTimer {
  /** Whether the caller disconnected before its response was complete. */
  hasCallerLeft = false;
  private readonly startMs: number;
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout | null = null;
  private limitMs = Infinity;

  constructor(
    private readonly clock: Clock,
    res: ServerResponse,
  ) {
    this.startMs = clock.monotonicMs();
    res.once('close', () => {
      if (res.writableFinished) return;
      this.hasCallerLeft = true;
      this.controller.abort();
    });
  }

  /** Aborts TIMEOUT_MARGIN_MS before the limit or when the caller leaves. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Milliseconds since the request head arrived. */
  get elapsedMs(): number {
    return this.clock.monotonicMs() - this.startMs;
  }

  /** Milliseconds until the time limit; 0 once it has passed. */
  get remainingMs(): number {
    return Math.max(0, this.limitMs - this.elapsedMs);
  }

  /** Whether the caller has left or no time remains to respond to it. */
  get isOver(): boolean {
    return this.signal.aborted || this.remainingMs <= TIMEOUT_MARGIN_MS;
  }

  /** Sets the time limit in milliseconds from the request head. */
  setTimeLimit(limitMs: number): void {
    this.limitMs = limitMs;
    const leftMs = limitMs - TIMEOUT_MARGIN_MS - this.elapsedMs;
    this.timer = setTimeout(() => this.controller.abort(), Math.max(0, leftMs));
  }

  /** Cancels the timer of the time limit. */
  stop(): void {
    if (this.timer) clearTimeout(this.timer);
  }
}
