import {LRUCache} from 'lru-cache';
import {
  AVOIDED_ZONE_COST_MS,
  CROSS_ZONE_COST_MS,
  ENTRY_TIMEOUT_MS,
  FAILURE_COST_MS,
  MAX_RETRY_AFTER_MS,
  MAX_REFUSED_FINGERPRINTS,
  MAX_WAITING,
  MIN_OVERLOAD_RETRY_AFTER_MS,
  MIN_RECONCILE_AGE_MS,
  MIN_RETRY_AFTER_MS,
  PLACEMENT_WINDOW,
  QUEUE_REFUSAL,
  RETRY_AFTER_WAIT_FACTOR,
  REFUSED_FINGERPRINT_TTL_MS,
  RUN_END,
  RUN_TIME_WEIGHT,
} from './constants.js';
import {EntryMonitor} from './entry_watch.js';
import type {RetryBudget} from './retry_allowance.js';
import {LatencyEstimator} from './service_speed.js';
import type {
  EndReport,
  QueueAnswer,
  QueueRefusal,
  StartReport,
  UpstreamSpec,
  WorkItem,
} from './types.js';
import {UpstreamState} from './upstream_state.js';
import type {WaitingItem} from './waiting_list.js';
import {WaitingList} from './waiting_list.js';

/** What a queue needs from its surroundings. */
export interface DispatchQueueOptions {
  /** Monotonic milliseconds. */
  readonly nowMs: () => number;
  readonly retries: RetryBudget;
}

/** An upstream with what it would cost a request. */
interface Candidate {
  readonly state: UpstreamState;
  readonly startMs: number;
  readonly priceMs: number;
}

/**
 * The one queue of a service. It binds late: a request is placed only when an
 * upstream has a free slot, the highest tier first, and inside a tier those
 * first that can still meet their objective. It answers the load of bursts
 * beyond the slots, where engines without priorities would mix the tiers.
 */
export class DispatchQueue {
  readonly upstreams = new Map<string, UpstreamState>();
  private readonly waiting = new WaitingList();
  private readonly speed = new LatencyEstimator();
  private readonly entries = new EntryMonitor();
  /** Contents of refused requests, whose callers may come back. */
  private readonly returns = new LRUCache<string, true>({
    max: MAX_REFUSED_FINGERPRINTS,
    ttl: REFUSED_FINGERPRINT_TTL_MS,
  });

  constructor(private readonly options: DispatchQueueOptions) {}

  /** Retries that the service may still take. */
  get retries(): RetryBudget {
    return this.options.retries;
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Number of granted requests that have not ended. */
  get runningCount(): number {
    let count = 0;
    for (const state of this.upstreams.values()) count += state.runs.size;
    return count;
  }

  /** Takes a request; the answer is given now or once it is placed. */
  submit(item: WorkItem, answer: (answer: QueueAnswer) => void): void {
    const now = this.options.nowMs();
    this.entries.recordContact(item.entryId, now);
    if (!item.isRetry) this.options.retries.recordRequest();
    else if (!this.options.retries.tryTake(now)) {
      const retryAfterMs = MIN_RETRY_AFTER_MS;
      answer({
        kind: 'refused',
        reason: QUEUE_REFUSAL.BUDGET_SPENT,
        retryAfterMs,
      });
      return;
    }
    const leastStartMs = this.speed.minStartMs(
      this.upstreams.values(),
      item.promptTokens,
    );
    const wasRefusedBefore = this.returns.has(item.fingerprint);
    const waiting = {
      item,
      answer,
      arrivedAtMs: now,
      objectiveAtMs: now + item.objectiveLeftMs,
      // What starts later than this is not seen to start by its caller.
      placementDeadlineMs: now + item.patienceLeftMs - leastStartMs,
      wasRefused: wasRefusedBefore,
      // The objective counts from a caller's first try.
      isLate: wasRefusedBefore,
    };
    const refusal = this.admit(waiting, now);
    if (refusal) {
      this.refuse(waiting, refusal);
      return;
    }
    this.waiting.add(waiting);
    this.place();
  }

  /** Forgets a waiting request without an answer. */
  cancel(requestId: string): void {
    this.waiting.remove(requestId);
  }

  /** Records the first byte of an answer. */
  handleStartReport(report: StartReport): void {
    const now = this.options.nowMs();
    for (const state of this.upstreams.values()) {
      const run = state.runs.get(report.requestId);
      if (!run) continue;
      this.speed.observeStart(state, run.promptTokens, report.startMs);
      state.recordStart(report.requestId, report.load, now);
      return;
    }
  }

  /** Frees the slot of a run and learns from its end. */
  handleEndReport(report: EndReport): void {
    const now = this.options.nowMs();
    for (const state of this.upstreams.values()) {
      if (!state.runs.has(report.requestId)) continue;
      state.recordEnd(report, now);
      if (report.end === RUN_END.COMPLETED) {
        this.speed.observeRun(this.upstreams.values(), report.runMs);
      }
      break;
    }
    this.place();
  }

  /**
   * Compares the runs of an entry with those that it reports. What it does not
   * name has ended, and its report was lost; what is new here was granted by an
   * earlier dispatcher.
   */
  reconcile(
    entryId: string,
    runs: readonly {requestId: string; instanceId: string}[],
  ): void {
    const now = this.options.nowMs();
    this.entries.recordContact(entryId, now);
    const named = new Set(runs.map(run => run.requestId));
    for (const state of this.upstreams.values()) {
      for (const run of [...state.runs.values()]) {
        const isOld = now - run.grantedAtMs > MIN_RECONCILE_AGE_MS;
        if (run.entryId !== entryId || !isOld) continue;
        if (!named.has(run.requestId)) state.runs.delete(run.requestId);
      }
    }
    for (const {requestId, instanceId} of runs) {
      this.upstreams.get(instanceId)?.confirmRun(requestId, entryId, now);
    }
    this.place();
  }

  /** Replaces the list of upstreams, keeping what was learned. */
  setUpstreams(specs: readonly UpstreamSpec[]): void {
    const ids = new Set(specs.map(spec => spec.instanceId));
    for (const id of this.upstreams.keys()) {
      if (!ids.has(id)) this.upstreams.delete(id);
    }
    for (const spec of specs) {
      const known = this.upstreams.get(spec.instanceId);
      const isSame =
        known?.spec.startedAtUnixMs === spec.startedAtUnixMs &&
        known?.spec.address === spec.address;
      if (known && isSame) known.spec = spec;
      else this.upstreams.set(spec.instanceId, new UpstreamState(spec));
    }
    this.place();
  }

  /**
   * Notes that an entry does not answer. What it runs counts for as long as such
   * a run lasts; its end may never be told.
   */
  markEntryUnresponsive(entryId: string): void {
    this.entries.markUnresponsive(entryId);
  }

  /** Refuses those whose patience has ended, drops lost runs, places the rest. */
  tick(): void {
    const now = this.options.nowMs();
    const rate = this.speed.slotsFreedPerMs(this.usable(now));
    for (const waiting of this.waiting.takeUnplaceable(now, rate)) {
      const isExpired = waiting.placementDeadlineMs <= now;
      const {EXPIRED, OVERLOADED} = QUEUE_REFUSAL;
      this.refuse(waiting, isExpired ? EXPIRED : OVERLOADED);
    }
    this.entries.dropRuns(
      this.upstreams.values(),
      now,
      (run, state) => now - run.grantedAtMs > this.speed.predictRunMs(state),
    );
    // A grant whose answer was lost is known to no entry; without another grant
    // its entry reports nothing that would show so.
    for (const state of this.upstreams.values()) {
      state.dropUnconfirmed(now, ENTRY_TIMEOUT_MS);
    }
    this.place();
  }

  /** Hands all waiting requests to another dispatcher. */
  close(): void {
    for (const {answer} of this.waiting.takeAll()) answer({kind: 'moved'});
  }

  private admit(waiting: WaitingItem, now: number): QueueRefusal | null {
    const {item, placementDeadlineMs: patienceEndsAtMs} = waiting;
    if (this.upstreams.size === 0) return QUEUE_REFUSAL.NO_UPSTREAM;
    if (patienceEndsAtMs <= now) return QUEUE_REFUSAL.EXPIRED;
    if (this.waiting.size >= MAX_WAITING) {
      const last = this.waiting.takeLastBelow(item.tier);
      if (!last) return QUEUE_REFUSAL.OVERLOADED;
      this.refuse(last, QUEUE_REFUSAL.OVERLOADED);
    }
    const placedAtMs = now + this.expectedWaitMs(waiting, now);
    return placedAtMs > patienceEndsAtMs ? QUEUE_REFUSAL.OVERLOADED : null;
  }

  /** Refuses a request, and expects its caller back when there is room. */
  private refuse(waiting: WaitingItem, reason: QueueRefusal): void {
    const waitMs = this.expectedWaitMs(waiting, this.options.nowMs());
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(
        MIN_OVERLOAD_RETRY_AFTER_MS,
        Math.ceil(RETRY_AFTER_WAIT_FACTOR * waitMs),
      ),
    );
    this.returns.set(waiting.item.fingerprint, true);
    waiting.answer({kind: 'refused', reason, retryAfterMs});
  }

  /** Milliseconds until those ahead of a request have a slot. */
  private expectedWaitMs(waiting: WaitingItem, now: number): number {
    const ahead = this.waiting.countBefore(waiting);
    if (ahead === 0) return 0;
    const rate = this.speed.slotsFreedPerMs(this.usable(now));
    return rate === 0 ? MAX_RETRY_AFTER_MS : ahead / rate;
  }

  private usable(now: number): UpstreamState[] {
    return [...this.upstreams.values()].filter(state => state.isUsable(now));
  }

  private place(): void {
    if (this.waiting.size === 0) return;
    const now = this.options.nowMs();
    const usable = this.usable(now);
    let free = usable.filter(state => state.freeSlots(now) > 0);
    for (const waiting of this.waiting.peek(PLACEMENT_WINDOW)) {
      if (free.length === 0) return;
      const wasLate = waiting.isLate;
      const candidate = this.choose(waiting, usable, free, now);
      if (waiting.isLate !== wasLate) {
        // Its place has changed: others of its tier go first, lower tiers don't.
        this.place();
        return;
      }
      if (!candidate) continue;
      this.waiting.remove(waiting.item.requestId);
      this.grant(waiting, candidate, now);
      if (candidate.state.freeSlots(now) <= 0) {
        free = free.filter(state => state !== candidate.state);
      }
    }
  }

  /**
   * The cheapest free upstream. Null where the request has to wait: for a busy
   * one that meets the objective that no free one does, for one that has not
   * failed it, or, having just become late, for those that can be in time.
   */
  private choose(
    waiting: WaitingItem,
    usable: readonly UpstreamState[],
    free: readonly UpstreamState[],
    now: number,
  ): Candidate | null {
    const {item} = waiting;
    const isAnyTrusted = usable.some(state => state.acceptsNonRepeatable(now));
    const trusted =
      item.isRepeatable || !isAnyTrusted
        ? free
        : free.filter(state => state.acceptsNonRepeatable(now));
    const others = trusted.filter(
      state => !item.excluded.includes(state.spec.instanceId),
    );
    const allowed = others.length > 0 ? others : trusted;
    // A retry at the same upstream is only for services that have no other.
    const hasOthers = usable.some(
      state => !item.excluded.includes(state.spec.instanceId),
    );
    if (others.length === 0 && hasOthers) return null;
    const best = this.cheapest(item, allowed);
    if (!best || waiting.isLate) return best;
    const leftMs = waiting.objectiveAtMs - now;
    if (best.startMs <= leftMs) return best;
    if (this.canMeetLater(item, usable, leftMs)) return null;
    this.waiting.markLate(waiting);
    return null;
  }

  private cheapest(
    item: WorkItem,
    states: readonly UpstreamState[],
  ): Candidate | null {
    let best: Candidate | null = null;
    for (const state of states) {
      const candidate = this.price(item, state);
      if (!best || candidate.priceMs < best.priceMs) best = candidate;
    }
    return best;
  }

  private price(item: WorkItem, state: UpstreamState): Candidate {
    const startMs = this.speed.predictStartMs(state, item.promptTokens);
    const {zone} = state.spec;
    const crossingMs = zone === item.zone ? 0 : CROSS_ZONE_COST_MS;
    const isAvoided = item.avoidedZones.includes(zone);
    const zoneMs = isAvoided ? AVOIDED_ZONE_COST_MS : crossingMs;
    const priceMs =
      startMs +
      RUN_TIME_WEIGHT * this.speed.predictRunMs(state) +
      FAILURE_COST_MS * state.failureRate +
      zoneMs;
    return {state, startMs, priceMs};
  }

  /** Whether an upstream whose slots are taken would still be in time. */
  private canMeetLater(
    item: WorkItem,
    usable: readonly UpstreamState[],
    leftMs: number,
  ): boolean {
    return usable.some(state => {
      const slots = Math.max(1, state.spec.slots);
      const slotWaitMs = this.speed.predictRunMs(state) / slots;
      return slotWaitMs + this.price(item, state).startMs <= leftMs;
    });
  }

  private grant(
    waiting: WaitingItem,
    {state, startMs}: Candidate,
    now: number,
  ): void {
    const {item} = waiting;
    const freeSlots = state.freeSlots(now);
    state.runs.set(item.requestId, {
      requestId: item.requestId,
      entryId: item.entryId,
      promptTokens: item.promptTokens,
      grantedAtMs: now,
      expectedStartMs: startMs,
      hasStarted: false,
      confirmedAtMs: now,
    });
    waiting.answer({
      kind: 'placed',
      placement: {
        upstream: state.spec,
        expectedStartMs: startMs,
        waitedMs: now - waiting.arrivedAtMs,
        freeSlots,
        isOnTrial: state.isOnTrial,
      },
    });
  }
}
