import type {QueueAnswer, WorkItem} from './types.js';

/** A request that waits in a queue. */
export interface WaitingItem {
  readonly item: WorkItem;
  readonly answer: (answer: QueueAnswer) => void;
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  readonly placementDeadlineMs: number;
  /** Whether its caller was refused before, and comes back as it was told. */
  readonly wasRefused: boolean;
  /** Whether no upstream can meet the objective any more. */
  isLate: boolean;
}

/**
 * Order of two waiting requests: by tier, then those that can meet their
 * objective, then callers that were refused before, and by what ends first.
 */
function compare(a: WaitingItem, b: WaitingItem): number {
  if (a.item.tier !== b.item.tier) return a.item.tier - b.item.tier;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.wasRefused !== b.wasRefused) return a.wasRefused ? -1 : 1;
  if (a.isLate) return a.placementDeadlineMs - b.placementDeadlineMs;
  return a.objectiveAtMs - b.objectiveAtMs;
}

/** Waiting requests in the order in which they are placed. */
export class WaitingList {
  private readonly items: WaitingItem[] = [];
  private readonly byId = new Map<string, WaitingItem>();

  /** Number of requests that wait. */
  get size(): number {
    return this.items.length;
  }

  /** Adds a request at its place. */
  add(waiting: WaitingItem): void {
    this.remove(waiting.item.requestId);
    this.byId.set(waiting.item.requestId, waiting);
    this.items.splice(this.placeOf(waiting), 0, waiting);
  }

  /** Removes a request where it waits. */
  remove(requestId: string): void {
    const waiting = this.byId.get(requestId);
    if (!waiting) return;
    this.byId.delete(requestId);
    this.items.splice(this.items.indexOf(waiting), 1);
  }

  /** Moves a request behind those of its tier that can be in time. */
  markLate(waiting: WaitingItem): void {
    const {requestId} = waiting.item;
    this.remove(requestId);
    waiting.isLate = true;
    this.add(waiting);
  }

  /** The first requests, as a copy that survives changes. */
  peek(count: number): WaitingItem[] {
    return this.items.slice(0, count);
  }

  /** Requests that would go before one, if it waited too. */
  countBefore(waiting: WaitingItem): number {
    return this.placeOf(waiting);
  }

  /** Takes out the last request of the lowest tier below the given one. */
  takeLastBelow(tier: number): WaitingItem | null {
    const last = this.items.at(-1);
    if (!last || last.item.tier <= tier) return null;
    this.remove(last.item.requestId);
    return last;
  }

  /**
   * Takes out the requests that will not be placed before their callers stop
   * waiting, at a rate of places per millisecond.
   */
  takeUnplaceable(nowMs: number, placesPerMs: number): WaitingItem[] {
    const hopeless: WaitingItem[] = [];
    let ahead = 0;
    for (const waiting of this.items) {
      const waitMs = placesPerMs > 0 ? ahead / placesPerMs : 0;
      const placedAtMs = nowMs + waitMs;
      if (placedAtMs < waiting.placementDeadlineMs) ahead++;
      else hopeless.push(waiting);
    }
    for (const waiting of hopeless) this.remove(waiting.item.requestId);
    return hopeless;
  }

  /** Takes out everything. */
  takeAll(): WaitingItem[] {
    this.byId.clear();
    return this.items.splice(0);
  }

  private placeOf(waiting: WaitingItem): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (compare(this.items[middle]!, waiting) <= 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
