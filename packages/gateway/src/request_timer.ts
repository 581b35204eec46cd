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
  private ownLimitMs = Infinity;
  /** Limit by the end of a gateway that stops. */
  private stopLimitMs = Infinity;
  /** Called at that limit in place of an abort. */
  private onStopLimit: () => void = () => this.abort();

  constructor(
    private readonly clock: Clock,
    res: ServerResponse,
    /** Milliseconds for which the request has waited already. */
    waitedMs: number,
  ) {
    this.startMs = clock.monotonicMs() - waitedMs;
    res.once('close', () => {
      if (!res.writableFinished) this.endWithCaller();
    });
  }

  /** Ends the request, as its caller has disconnected. */
  endWithCaller(): void {
    this.hasCallerLeft = true;
    this.controller.abort();
  }

  /** Aborts TIMEOUT_MARGIN_MS before the limit or when the caller leaves. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Milliseconds since the request head arrived. */
  get elapsedMs(): number {
    return this.clock.monotonicMs() - this.startMs;
  }

  /** Milliseconds until the nearest limit; 0 once it has passed. */
  get remainingMs(): number {
    const limitMs = Math.min(this.ownLimitMs, this.stopLimitMs);
    return Math.max(0, limitMs - this.elapsedMs);
  }

  /** Milliseconds until the request's own time limit, also past the other one. */
  get ownRemainingMs(): number {
    return Math.max(0, this.ownLimitMs - this.elapsedMs);
  }

  /** Whether the gateway stops before the request's own time limit. */
  get endsWithGateway(): boolean {
    return this.stopLimitMs < this.ownLimitMs;
  }

  /** Whether the caller has left or no time remains to respond to it. */
  get isOver(): boolean {
    return this.signal.aborted || this.remainingMs <= TIMEOUT_MARGIN_MS;
  }

  /** Sets the time limit in milliseconds from the request head. */
  setTimeLimit(limitMs: number): void {
    this.ownLimitMs = limitMs;
    this.setTimer();
  }

  /**
   * Limits the request to a time in milliseconds from now as well; `onLimit` is
   * called then, and has to see to it that the signal is aborted.
   */
  limitByStop(leftMs: number, onLimit: () => void): void {
    this.stopLimitMs = this.elapsedMs + leftMs;
    this.onStopLimit = onLimit;
    this.setTimer();
  }

  /** Ends the request at once, as the gateway stops. */
  endByStop(): void {
    this.stop();
    this.stopLimitMs = Math.min(this.stopLimitMs, this.elapsedMs);
    this.onStopLimit();
  }

  /** Aborts the signal. */
  abort(): void {
    this.controller.abort();
  }

  /** Cancels the timer of the time limit. */
  stop(): void {
    if (this.timer) clearTimeout(this.timer);
  }

  private setTimer(): void {
    this.stop();
    const leftMs = Math.max(0, this.remainingMs - TIMEOUT_MARGIN_MS);
    this.timer = setTimeout(() => this.handleLimit(), leftMs);
  }

  private handleLimit(): void {
    if (this.endsWithGateway) this.onStopLimit();
    else this.abort();
  }
}
