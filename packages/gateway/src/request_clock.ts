import type {Clock} from '@fescuespool/common';
import type {ServerResponse} from 'node:http';
import {TIMEOUT_MARGIN_MS} from './constants.js';

/**
 * The time of one request: ends with its limit or when its caller leaves,
 * whichever comes first.
 */
export class RequestTimer {
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

  /** Aborted when the time is over or the caller has left. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Milliseconds since the head of the request came. */
  get elapsedMs(): number {
    return this.clock.monotonicMs() - this.startMs;
  }

  /** Milliseconds until the limit. */
  get remainingMs(): number {
    return Math.max(0, this.limitMs - this.elapsedMs);
  }

  /** Whether nothing more can be done for the caller. */
  get isOver(): boolean {
    return this.signal.aborted || this.remainingMs <= TIMEOUT_MARGIN_MS;
  }

  /** Sets the limit in milliseconds from the head of the request. */
  setTimeLimit(limitMs: number): void {
    this.limitMs = limitMs;
    const leftMs = limitMs - TIMEOUT_MARGIN_MS - this.elapsedMs;
    this.timer = setTimeout(() => this.controller.abort(), Math.max(0, leftMs));
  }

  /** Ends the clock. */
  stop(): void {
    if (this.timer) clearTimeout(this.timer);
  }
}
