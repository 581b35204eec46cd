import type {ValueOf} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {
  END_RESERVE_MS,
  END_RESERVE_STALLS,
  END_TIME_SHARE,
  FEW_RUN_TIMES,
  FEW_RUN_TIMES_FACTOR,
  MAX_STALL_RESERVE_MS,
  MAX_ROUTES_WITH_RUN_TIMES,
  MAX_RUN_TIMES,
  USUAL_RUN_QUANTILE,
} from './stop_constants.js';
import {isRepeatable} from './open_request.js';
import type {Pace} from './stop_pace.js';
import type {Route} from './types.js';

/** What is known of a request that would begin now; all in milliseconds. */
export interface StartInputs {
  /** Time until the process has to have answered its last request. */
  readonly graceLeftMs: number;
  /** Time until the request's own limit. */
  readonly timeLimitLeftMs: number;
  /** Time that a run of it takes; null if that is not known. */
  readonly expectedRunMs: number | null;
}

/**
 * Milliseconds from now within which a request has to begin to end before a
 * process that stops does; negative if it is too late. Infinity if its own time
 * limit ends it in any case, and for a process that doesn't stop.
 */
export function latestStartMs({
  graceLeftMs,
  timeLimitLeftMs,
  expectedRunMs,
}: StartInputs): number {
  if (timeLimitLeftMs <= graceLeftMs) return Infinity;
  // It may take all of its time if nothing is known of its like.
  return graceLeftMs - (expectedRunMs ?? timeLimitLeftMs);
}

/** Which requests a process that stops ends first, if it can't answer all later. */
export const END_RANK = {
  /** No upstream has it, so that another gateway can serve it. */
  NOT_PASSED_ON: 0,
  /** Its caller may repeat it. */
  REPEATABLE: 1,
  /** Its caller won't know whether it ran. */
  ONCE: 2,
  /** It has got a part of its response, and can only be cut. */
  BEGUN: 3,
} as const;

/** One of these ranks. */
export type EndRank = ValueOf<typeof END_RANK>;

/** What the ends of requests have to fit into. */
export interface EndInputs extends Pace {
  /** Milliseconds until the process is ended by force. */
  readonly leftMs: number;
  /** Processor time in milliseconds that the end of a request takes. */
  readonly endCostMs: number;
}

/**
 * Number of requests that a process which stops can still answer before it is ended
 * by force; those beyond it have to be ended now.
 */
export function endableCount({
  leftMs,
  coreShare,
  longestStallMs,
  endCostMs,
}: EndInputs): number {
  const stallsMs = END_RESERVE_STALLS * longestStallMs;
  const reserveMs = END_RESERVE_MS + Math.min(stallsMs, MAX_STALL_RESERVE_MS);
  const cpuMs = Math.max(0, leftMs - reserveMs) * coreShare;
  return Math.floor((END_TIME_SHARE * cpuMs) / endCostMs);
}

/** Run times of the latest requests of each route, by which others are judged. */
export class RunTimes {
  private readonly byRoute = new LRUCache<string, number[]>({
    max: MAX_ROUTES_WITH_RUN_TIMES,
  });

  /** Records how long an upstream took for a request, in milliseconds. */
  record(route: Route, runMs: number): void {
    const times = this.byRoute.get(route.name) ?? [];
    times.push(runMs);
    if (times.length > MAX_RUN_TIMES) times.shift();
    this.byRoute.set(route.name, times);
  }

  /**
   * Milliseconds that a request of a route takes; null if none has ended yet. What
   * may be repeated is expected to take its usual time. For what may not, being cut
   * off leaves open whether it ran, so that the longest of the latest runs counts.
   */
  expectedMs(route: Route): number | null {
    const times = this.byRoute.get(route.name);
    if (!times) return null;
    const longestMs = Math.max(...times);
    if (times.length < FEW_RUN_TIMES) return FEW_RUN_TIMES_FACTOR * longestMs;
    if (!isRepeatable(route)) return longestMs;
    const sorted = [...times].sort((a, b) => a - b);
    return sorted[Math.floor(USUAL_RUN_QUANTILE * sorted.length)] ?? longestMs;
  }
}
