import type {PlacementRate} from './placement_rate.js';
import {AheadCounter} from './placement_rate.js';
import type {GrantRequest} from './types.js';
import type {WaitingRequest} from './waiting_request.js';

/**
 * Orders requests by tier, then streams that have begun first, which can use few
 * upstreams, then those of accounts within their share, then those to which room
 * was promised, then those that can meet their objective, then those that were
 * refused before, then by the earliest objective or, where late, the earliest
 * placement deadline.
 */
function compare(a: WaitingRequest, b: WaitingRequest): number {
  if (a.request.tier !== b.request.tier) return a.request.tier - b.request.tier;
  const isBound = isBoundToVersion(a);
  if (isBound !== isBoundToVersion(b)) return isBound ? -1 : 1;
  if (a.shareLevel !== b.shareLevel) return a.shareLevel - b.shareLevel;
  if (a.isPromised !== b.isPromised) return a.isPromised ? -1 : 1;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.wasRefused !== b.wasRefused) return a.wasRefused ? -1 : 1;
  if (a.isLate) return a.placementDeadlineMs - b.placementDeadlineMs;
  return a.objectiveAtMs - b.objectiveAtMs;
}

function isBoundToVersion({request}: WaitingRequest): boolean {
  return request.requiredVersion !== null;
}

/** Waiting requests in placement order. */
export class WaitingList {
  private readonly requests: WaitingRequest[] = [];
  private readonly byId = new Map<string, WaitingRequest>();
  /** Number of requests that need a software version. */
  private boundCount = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.requests.length;
  }

  /** Inserts a request in order; replaces one with the same request id. */
  add(waiting: WaitingRequest): void {
    this.remove(waiting.request.requestId);
    this.byId.set(waiting.request.requestId, waiting);
    if (isBoundToVersion(waiting)) this.boundCount++;
    this.requests.splice(this.insertionIndexOf(waiting), 0, waiting);
  }

  /** Removes and returns a request if it is waiting. */
  remove(requestId: string): WaitingRequest | null {
    const waiting = this.byId.get(requestId);
    if (!waiting) return null;
    this.byId.delete(requestId);
    if (isBoundToVersion(waiting)) this.boundCount--;
    this.requests.splice(this.requests.indexOf(waiting), 1);
    return waiting;
  }

  /** Moves a request behind those of its tier that can meet their objective. */
  markLate(waiting: WaitingRequest): void {
    const {requestId} = waiting.request;
    this.remove(requestId);
    waiting.isLate = true;
    this.add(waiting);
  }

  /**
   * Copies the first requests that meet a condition, so that the list may change
   * meanwhile.
   */
  peek(
    count: number,
    condition: (waiting: WaitingRequest) => boolean,
  ): WaitingRequest[] {
    const found: WaitingRequest[] = [];
    for (const waiting of this.requests) {
      if (found.length === count) break;
      if (condition(waiting)) found.push(waiting);
    }
    return found;
  }

  /** Software versions that waiting requests need. */
  get requiredVersions(): Set<string> {
    const versions = new Set<string>();
    if (this.boundCount === 0) return versions;
    for (const {request} of this.requests) {
      if (request.requiredVersion !== null)
        versions.add(request.requiredVersion);
    }
    return versions;
  }

  /**
   * Milliseconds until this request is placed, behind those before it;
   * `unknownWaitMs` if that can't be predicted.
   */
  expectedWaitMs(
    waiting: WaitingRequest,
    rateOf: (waiting: WaitingRequest) => PlacementRate,
    differsByGateway: boolean,
    unknownWaitMs: number,
  ): number {
    const index = this.insertionIndexOf(waiting);
    const counter = new AheadCounter();
    if (this.boundCount === 0 && !differsByGateway) counter.addUnbound(index);
    else
      this.requests
        .slice(0, index)
        .forEach(ahead => counter.add(ahead.request, rateOf(ahead)));
    const {request} = waiting;
    return counter.waitMs(request, rateOf(waiting), unknownWaitMs);
  }

  /** Removes and returns the requests that meet a condition. */
  takeWhere(condition: (waiting: WaitingRequest) => boolean): WaitingRequest[] {
    const taken = this.requests.filter(condition);
    for (const waiting of taken) this.remove(waiting.request.requestId);
    return taken;
  }

  /**
   * Removes and returns the last request if it is of a lower tier than the given
   * one, or of the same tier and room was promised to the given one alone.
   */
  takeLastBehind({request, isPromised}: WaitingRequest): WaitingRequest | null {
    const last = this.requests.at(-1);
    if (!last || last.request.tier < request.tier) return null;
    const isSameTier = last.request.tier === request.tier;
    if (isSameTier && (last.isPromised || !isPromised)) return null;
    this.remove(last.request.requestId);
    return last;
  }

  /** Whether a request of another client account waits in the same tier. */
  hasOtherAccount({tier, account}: GrantRequest): boolean {
    for (const {request} of this.requests) {
      if (request.tier > tier) return false;
      if (request.tier === tier && request.account !== account) return true;
    }
    return false;
  }

  /** Puts the requests in order anew, as their accounts' use has changed. */
  updateShareLevels(levelOf: (request: GrantRequest) => number): void {
    let hasChanged = false;
    for (const waiting of this.requests) {
      const level = levelOf(waiting.request);
      if (level === waiting.shareLevel) continue;
      waiting.shareLevel = level;
      hasChanged = true;
    }
    if (hasChanged) this.requests.sort(compare);
  }

  /**
   * Removes and returns the requests that will miss their placement deadline at
   * the given rates.
   */
  takeUnplaceable(
    nowMs: number,
    rateOf: (waiting: WaitingRequest) => PlacementRate,
  ): WaitingRequest[] {
    const unplaceable: WaitingRequest[] = [];
    const counter = new AheadCounter();
    for (const waiting of this.requests) {
      const {request, placementDeadlineMs} = waiting;
      const rate = rateOf(waiting);
      const waitMs = counter.waitMs(request, rate, 0);
      if (nowMs + waitMs < placementDeadlineMs) counter.add(request, rate);
      else unplaceable.push(waiting);
    }
    for (const waiting of unplaceable) this.remove(waiting.request.requestId);
    return unplaceable;
  }

  /** Removes and returns all requests. */
  takeAll(): WaitingRequest[] {
    this.byId.clear();
    this.boundCount = 0;
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
