import type {Queue, QueueAddOptions} from 'p-queue';
import {FairQueueTags} from './fair_queue_tags.js';
import {PLACEMENT_WINDOW} from './constants.js';
import {DeadlineBuckets} from './deadline_buckets.js';
import type {GrantAnswer, GrantRequest} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Function that p-queue runs for a waiting request. */
export type RunFunction = () => Promise<unknown>;

/** A request that waits in a cell. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly expectedTokens: number;
  /** Order inside the tier, from the shares of the accounts. */
  readonly startTag: number;
  /** Whether it will hardly meet its deadline, as last judged. */
  isExpectedLate: boolean;
  /** Run that is being preempted for this request. */
  victimId: string | null;
  readonly answer: (answer: GrantAnswer) => void;
}

/** A waiting request with the upstream that it goes to. */
export interface Placement {
  readonly waiting: WaitingRequest;
  readonly upstream: UpstreamState;
}

/** Options of a task: the request that it stands for. */
export interface TierQueueOptions extends QueueAddOptions {
  readonly waiting: WaitingRequest;
}

interface QueuedItem {
  readonly waiting: WaitingRequest;
  readonly run: RunFunction;
}

/** Searches the waiting requests for one that can start now. */
export type FindPlacement = (queue: TierQueue) => Placement | null;

/**
 * Queue class for p-queue. Each tier is ordered by the shares of its accounts.
 * `size` is the number of requests that can start now, not of those that wait:
 * p-queue starts a task whenever it is not 0, and a request starts only when
 * its upstream has a free slot.
 */
export class TierQueue implements Queue<RunFunction, TierQueueOptions> {
  private readonly tiers: QueuedItem[][] = [];
  private readonly fairQueueTags: FairQueueTags[] = [];
  private readonly items = new Map<string, QueuedItem>();
  private readonly deadlines = new DeadlineBuckets<WaitingRequest>();
  private foundPlacement: Placement | null = null;
  private dequeuedPlacement: Placement | null = null;

  constructor(private readonly findPlacement: FindPlacement) {}

  /** 1 when a request can start now, otherwise 0. */
  get size(): number {
    this.foundPlacement = this.findPlacement(this);
    return this.foundPlacement ? 1 : 0;
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.items.size;
  }

  /** Makes the place of an arriving request among the accounts of its tier. */
  tagFor(request: GrantRequest, tokens: number): number {
    return this.tagsOfTier(request.tier).assignStartTag(
      request.accountId,
      request.weight,
      tokens,
    );
  }

  enqueue(run: RunFunction, options?: Partial<TierQueueOptions>): void {
    const waiting = options?.waiting;
    if (!waiting) throw new TypeError('a task needs its waiting request');
    const {tier, requestId} = waiting.request;
    const item = {waiting, run};
    this.items.set(requestId, item);
    this.deadlines.add(waiting, waiting.deadlineAtMs);
    const list = (this.tiers[tier] ??= []);
    list.splice(upperBound(list, waiting.startTag), 0, item);
  }

  dequeue(): RunFunction | undefined {
    const {foundPlacement: placement} = this;
    this.foundPlacement = null;
    if (!placement) return undefined;
    const item = this.remove(placement.waiting.request.requestId);
    this.tagsOfTier(placement.waiting.request.tier).advanceVirtualTime(
      placement.waiting.startTag,
    );
    this.dequeuedPlacement = placement;
    return item?.run;
  }

  /** Placement of the task that was dequeued last. */
  takePlacement(): Placement {
    const {dequeuedPlacement: taken} = this;
    if (!taken) throw new TypeError('no task was dequeued');
    this.dequeuedPlacement = null;
    return taken;
  }

  filter(): RunFunction[] {
    return [...this.items.values()].map(item => item.run);
  }

  setPriority(): void {
    throw new TypeError('the order of a cell follows tiers and shares');
  }

  /** Removes a waiting request without running it. */
  remove(requestId: string): QueuedItem | undefined {
    const item = this.items.get(requestId);
    if (!item) return undefined;
    this.items.delete(requestId);
    this.deadlines.remove(item.waiting, item.waiting.deadlineAtMs);
    const list = this.tiers[item.waiting.request.tier]!;
    let index = upperBound(list, item.waiting.startTag) - 1;
    while (list[index] !== item) index--;
    list.splice(index, 1);
    return item;
  }

  /** A waiting request by its identifier. */
  find(requestId: string): WaitingRequest | undefined {
    return this.items.get(requestId)?.waiting;
  }

  /** Waiting requests whose deadline has passed. */
  expired(nowMs: number): WaitingRequest[] {
    return this.deadlines.expired(nowMs);
  }

  /** All waiting requests, in no order. */
  *all(): Iterable<WaitingRequest> {
    for (const item of this.items.values()) yield item.waiting;
  }

  /**
   * The first requests of each tier, the highest tier first. Those judged late
   * stand at the end, so that they do not fill the window.
   */
  *windows(): Iterable<readonly WaitingRequest[]> {
    for (const list of this.tiers) {
      if (!list || list.length === 0) continue;
      const window: WaitingRequest[] = [];
      const late: WaitingRequest[] = [];
      for (const {waiting} of list) {
        if (!waiting.isExpectedLate) window.push(waiting);
        else if (late.length < PLACEMENT_WINDOW) late.push(waiting);
        if (window.length >= PLACEMENT_WINDOW) break;
      }
      yield [...window, ...late];
    }
  }

  /** Number of requests that wait in a tier. */
  waitingCountInTier(tier: number): number {
    return this.tiers[tier]?.length ?? 0;
  }

  /** The last request of the lowest tier below the given one. */
  lastBelowTier(tier: number): WaitingRequest | null {
    for (let rank = this.tiers.length - 1; rank > tier; rank--) {
      const last = this.tiers[rank]?.at(-1);
      if (last) return last.waiting;
    }
    return null;
  }

  private tagsOfTier(tier: number): FairQueueTags {
    return (this.fairQueueTags[tier] ??= new FairQueueTags());
  }
}

function upperBound(list: readonly QueuedItem[], tag: number): number {
  let low = 0;
  let high = list.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (list[middle]!.waiting.startTag <= tag) low = middle + 1;
    else high = middle;
  }
  return low;
}
