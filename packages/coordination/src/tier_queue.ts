import type {Queue, QueueAddOptions} from 'p-queue';
import {PLACEMENT_WINDOW} from './constants.js';
import {DeadlineBuckets} from './deadline_buckets.js';
import {FairQueueTags} from './fair_queue_tags.js';
import type {GrantAnswer, GrantRequest} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Task that p-queue runs when a waiting request is granted. */
export type RunFunction = () => Promise<unknown>;

/** A request that waits in a cell; times are on the monotonic clock. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly expectedTokens: number;
  /** Start tag of fair queueing; the lowest in the tier goes first. */
  readonly startTag: number;
  /** Whether the last placement pass estimated a finish after the deadline. */
  isExpectedLate: boolean;
  /** Request id of the run that is being preempted for this request. */
  victimId: string | null;
  readonly answer: (answer: GrantAnswer) => void;
}

/** A waiting request and the upstream that is to run it. */
export interface Placement {
  readonly waiting: WaitingRequest;
  readonly upstream: UpstreamState;
}

/** p-queue task options that carry the waiting request. */
export interface TierQueueOptions extends QueueAddOptions {
  readonly waiting: WaitingRequest;
}

interface QueuedItem {
  readonly waiting: WaitingRequest;
  readonly run: RunFunction;
}

/** Selects the next waiting request that can start, or null. */
export type FindPlacement = (queue: TierQueue) => Placement | null;

/**
 * Queue implementation for p-queue that orders each tier by fair queueing over
 * its client accounts. `size` counts requests that can start now, not those
 * that wait: p-queue starts a task whenever it is not 0, and a request may
 * start only when its upstream has a free slot.
 */
export class TierQueue implements Queue<RunFunction, TierQueueOptions> {
  private readonly tiers: QueuedItem[][] = [];
  private readonly fairQueueTags: FairQueueTags[] = [];
  private readonly items = new Map<string, QueuedItem>();
  private readonly deadlines = new DeadlineBuckets<WaitingRequest>();
  private foundPlacement: Placement | null = null;
  private dequeuedPlacement: Placement | null = null;

  constructor(private readonly findPlacement: FindPlacement) {}

  /** 1 if a request can start now, otherwise 0; each read runs the search. */
  get size(): number {
    this.foundPlacement = this.findPlacement(this);
    return this.foundPlacement ? 1 : 0;
  }

  /** Number of requests that wait in all tiers. */
  get waitingCount(): number {
    return this.items.size;
  }

  /** Assigns the start tag of an arriving request within its tier. */
  tagFor(request: GrantRequest, tokens: number): number {
    return this.tagsOfTier(request.tier).assignStartTag(
      request.accountId,
      request.weight,
      tokens,
    );
  }

  enqueue(run: RunFunction, options?: Partial<TierQueueOptions>): void {
    const waiting = options?.waiting;
    if (!waiting) throw new TypeError('enqueue: options.waiting is missing');
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

  /**
   * Returns and clears the placement of the last dequeued task.
   *
   * @throws {TypeError} if no task was dequeued since the last call.
   */
  takePlacement(): Placement {
    const {dequeuedPlacement} = this;
    if (!dequeuedPlacement)
      throw new TypeError('takePlacement: no task was dequeued');
    this.dequeuedPlacement = null;
    return dequeuedPlacement;
  }

  filter(): RunFunction[] {
    return [...this.items.values()].map(item => item.run);
  }

  setPriority(): void {
    throw new TypeError('setPriority: the order follows tiers and start tags');
  }

  /** Removes a waiting request; returns it with its task, without a run. */
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

  /** Looks up a waiting request by its request id. */
  find(requestId: string): WaitingRequest | undefined {
    return this.items.get(requestId)?.waiting;
  }

  /** Waiting requests past their deadline, up to one bucket late. */
  expired(nowMs: number): WaitingRequest[] {
    return this.deadlines.expired(nowMs);
  }

  /** All waiting requests, in no particular order. */
  *all(): Iterable<WaitingRequest> {
    for (const item of this.items.values()) yield item.waiting;
  }

  /**
   * Yields the first `PLACEMENT_WINDOW` requests of each tier, highest tier
   * first. Requests expected late follow at the end, so that they do not fill
   * the window.
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

  /** Last request of the lowest non-empty tier below `tier`, or null. */
  lastBelowTier(tier: number): WaitingRequest | null {
    for (let lower = this.tiers.length - 1; lower > tier; lower--) {
      const last = this.tiers[lower]?.at(-1);
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
