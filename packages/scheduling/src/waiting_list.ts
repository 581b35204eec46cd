import type {GrantRequest, QueueAnswer} from './types.js';

/** A waiting request with its deadlines, in monotonic milliseconds. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  /** Called when the request is placed, refused or moved. */
  readonly answer: (answer: QueueAnswer) => void;
  readonly arrivedAtMs: number;
  /** Time by which the first byte should arrive. */
  readonly objectiveAtMs: number;
  /** Latest placement that lets it start before the caller stops waiting. */
  readonly placementDeadlineMs: number;
  /** Whether a request with the same fingerprint was refused recently. */
  readonly wasRefused: boolean;
  /** Whether the request can no longer meet its objective. */
  isLate: boolean;
}

/**
 * Orders requests by tier, then those that can meet their objective first, then
 * those that were refused before, then by the earliest objective or, where late,
 * the earliest placement deadline.
 */
function compare(a: WaitingRequest, b: WaitingRequest): number {
  if (a.request.tier !== b.request.tier) return a.request.tier - b.request.tier;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.wasRefused !== b.wasRefused) return a.wasRefused ? -1 : 1;
  if (a.isLate) return a.placementDeadlineMs - b.placementDeadlineMs;
  return a.objectiveAtMs - b.objectiveAtMs;
}

/** Waiting requests in placement order. */
export class WaitingList {
  private readonly requests: WaitingRequest[] = [];
  private readonly byId = new Map<string, WaitingRequest>();

  /** Number of waiting requests. */
  get size(): number {
    return this.requests.length;
  }

  /** Inserts a request in order; replaces one with the same request id. */
  add(waiting: WaitingRequest): void {
    this.remove(waiting.request.requestId);
    this.byId.set(waiting.request.requestId, waiting);
    this.requests.splice(this.insertionIndexOf(waiting), 0, waiting);
  }

  /** Removes a request if it is waiting. */
  remove(requestId: string): void {
    const waiting = this.byId.get(requestId);
    if (!waiting) return;
    this.byId.delete(requestId);
    this.requests.splice(this.requests.indexOf(waiting), 1);
  }

  /** Moves a request behind those of its tier that can meet their objective. */
  markLate(waiting: WaitingRequest): void {
    const {requestId} = waiting.request;
    this.remove(requestId);
    waiting.isLate = true;
    this.add(waiting);
  }

  /** Copies the first requests, so that the list may change meanwhile. */
  peek(count: number): WaitingRequest[] {
    return this.requests.slice(0, count);
  }

  /** Number of waiting requests that would be placed before this one. */
  countBefore(waiting: WaitingRequest): number {
    return this.insertionIndexOf(waiting);
  }

  /** Removes and returns the last request if its tier number is above `tier`. */
  takeLastBelowTier(tier: number): WaitingRequest | null {
    const last = this.requests.at(-1);
    if (!last || last.request.tier <= tier) return null;
    this.remove(last.request.requestId);
    return last;
  }

  /**
   * Removes and returns the requests that will miss their placement deadline if
   * `placementsPerMs` are placed per millisecond, the first in `firstInMs`.
   */
  takeUnplaceable(
    nowMs: number,
    placementsPerMs: number,
    firstInMs: number,
  ): WaitingRequest[] {
    const unplaceable: WaitingRequest[] = [];
    let ahead = 0;
    for (const waiting of this.requests) {
      const waitMs = placementsPerMs > 0 ? ahead / placementsPerMs : 0;
      const placedAtMs = nowMs + firstInMs + waitMs;
      if (placedAtMs < waiting.placementDeadlineMs) ahead++;
      else unplaceable.push(waiting);
    }
    for (const waiting of unplaceable) this.remove(waiting.request.requestId);
    return unplaceable;
  }

  /** Removes and returns all requests. */
  takeAll(): WaitingRequest[] {
    this.byId.clear();
    return this.requests.splice(0);
  }

  /** Index at which a request belongs, after those of equal order. */
  private insertionIndexOf(waiting: WaitingRequest): number {
    let low = 0;
    let high = this.requests.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (compare(this.requests[middle]!, waiting) <= 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
