import type {Clock, Logger} from '@fescuespool/common';
import type {RequestTimer} from './request_timer.js';
import {
  END_CHECK_INTERVAL_MS,
  END_COST_WEIGHT,
  MAX_END_COST_MS,
  MIN_END_COST_MS,
  PACE_INTERVAL_MS,
  SCARCE_CORE_SHARE,
} from './stop_constants.js';
import {StopPace} from './stop_pace.js';
import type {EndRank} from './stop_policy.js';
import {END_RANK, endableCount} from './stop_policy.js';

/** An open request, as far as its end in a stop goes. */
export interface StoppableRequest {
  /** How its end ranks among those of others. */
  readonly rank: () => EndRank;
  /** Answers it before its send is aborted; returns false if that can't be done. */
  readonly answer: () => boolean;
}

/**
 * Ends the requests of a process that stops: before the end of its grace if it
 * would not get enough of a core any more to answer all of them then. Answers come
 * before what else there is to do for the end of a request.
 */
export class StopEnds {
  private readonly pace: StopPace;
  private readonly timer: NodeJS.Timeout;
  private nextAbort: NodeJS.Immediate | null = null;
  /** Requests that have been answered, but whose sends have not been aborted. */
  private readonly answered: RequestTimer[] = [];
  private endCostMs = MIN_END_COST_MS;
  private earlyCount = 0;
  private checkedAtMs = -Infinity;

  /** Ends open requests before a forced exit at a monotonic time in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly open: ReadonlyMap<RequestTimer, StoppableRequest>,
    private readonly exitAtMs: number,
    private readonly cpuMs: () => number,
  ) {
    this.pace = new StopPace(clock.monotonicMs(), cpuMs(), exitAtMs);
    this.timer = setInterval(() => this.measure(), PACE_INTERVAL_MS);
  }

  /** Whether the process gets too little of a core for what can wait. */
  get isShortOfCore(): boolean {
    return this.earlyCount > 0 || this.coreShare < SCARCE_CORE_SHARE;
  }

  /** Share of a core that the process was last seen to get. */
  get coreShare(): number {
    return this.pace.pace.coreShare;
  }

  /** Number of requests that were ended early. */
  get endedEarly(): number {
    return this.earlyCount;
  }

  /** Ends a request now. */
  end(timer: RequestTimer): void {
    if (timer.signal.aborted) return;
    if (!this.open.get(timer)?.answer()) {
      timer.abort();
      return;
    }
    this.answered.push(timer);
    this.abortNext();
  }

  /** Ends no more requests early. */
  close(): void {
    clearInterval(this.timer);
    this.checkedAtMs = Infinity;
  }

  /**
   * Measures the pace if that is due, and ends what could not be answered later. May
   * be called at any time, as a round of the event loop may take seconds.
   */
  measure(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.pace.recordedAtMs < PACE_INTERVAL_MS) return;
    this.pace.record(nowMs, this.cpuMs());
    if (nowMs - this.checkedAtMs < END_CHECK_INTERVAL_MS) return;
    this.checkedAtMs = nowMs;
    this.check(nowMs);
  }

  private check(nowMs: number): void {
    const {coreShare, longestStallMs} = this.pace.pace;
    const {endCostMs, exitAtMs} = this;
    const leftMs = exitAtMs - nowMs;
    const pace = {leftMs, coreShare, longestStallMs, endCostMs};
    const mayStay = endableCount(pace);
    if (this.open.size <= mayStay) return;
    const candidates = this.rankOpen();
    const excess = candidates.length - mayStay;
    if (excess <= 0) return;
    if (this.earlyCount === 0) {
      this.log.warn('requests_ended_early', {
        open: candidates.length,
        mayStay,
        leftMs: Math.round(leftMs),
        coreShare: Number(coreShare.toFixed(3)),
        longestStallMs: Math.round(longestStallMs),
        endCostMs: Number(endCostMs.toFixed(2)),
      });
    }
    this.endNow(candidates.slice(0, excess));
  }

  /** Open requests without a response, the first to be ended first. */
  private rankOpen(): RequestTimer[] {
    const ranked: Array<readonly [EndRank, number, RequestTimer]> = [];
    for (const [timer, request] of this.open) {
      if (timer.signal.aborted) continue;
      const rank = request.rank();
      // A response that has begun would be cut, now as at the end.
      if (rank === END_RANK.BEGUN) continue;
      ranked.push([rank, timer.ownRemainingMs, timer]);
    }
    ranked.sort(
      ([rank, leftMs], [otherRank, otherLeftMs]) =>
        rank - otherRank || leftMs - otherLeftMs,
    );
    return ranked.map(([, , timer]) => timer);
  }

  private endNow(timers: readonly RequestTimer[]): void {
    const startCpuMs = this.cpuMs();
    for (const timer of timers) timer.endByStop();
    this.earlyCount += timers.length;
    this.recordCost((this.cpuMs() - startCpuMs) / timers.length);
  }

  /** Aborts the sends of requests that are answered, one between other tasks. */
  private abortNext(): void {
    this.nextAbort ??= setImmediate(() => {
      this.nextAbort = null;
      this.answered.shift()?.abort();
      if (this.answered.length > 0) this.abortNext();
    });
  }

  private recordCost(costMs: number): void {
    const boundMs = Math.min(costMs, MAX_END_COST_MS);
    const mean = this.endCostMs + END_COST_WEIGHT * (boundMs - this.endCostMs);
    this.endCostMs = Math.max(MIN_END_COST_MS, mean);
  }
}
