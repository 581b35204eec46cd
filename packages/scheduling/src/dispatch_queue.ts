import {LRUCache} from 'lru-cache';
import {
  AVOIDED_ZONE_COST_MS,
  CROSS_ZONE_COST_MS,
  ENTRY_TIMEOUT_MS,
  FAILURE_COST_MS,
  MAX_REFUSED_FINGERPRINTS,
  MAX_RETRY_AFTER_MS,
  MAX_WAITING,
  MIN_OVERLOAD_RETRY_AFTER_MS,
  MIN_RECONCILE_AGE_MS,
  MIN_RETRY_AFTER_MS,
  PLACEMENT_WINDOW,
  QUEUE_REFUSAL,
  REFUSED_FINGERPRINT_TTL_MS,
  RETRY_AFTER_WAIT_FACTOR,
  RUN_END,
  RUN_TIME_WEIGHT,
} from './constants.js';
import {EntryMonitor} from './entry_monitor.js';
import {LatencyEstimator} from './latency_estimator.js';
import type {RetryBudget} from './retry_budget.js';
import type {
  EndReport,
  GrantRequest,
  QueueAnswer,
  QueueRefusal,
  StartReport,
  UpstreamSpec,
} from './types.js';
import {UpstreamState} from './upstream_state.js';
import type {WaitingRequest} from './waiting_list.js';
import {WaitingList} from './waiting_list.js';

/** Clock and retry budget that a queue is created with. */
export interface DispatchQueueOptions {
  /** Monotonic milliseconds. */
  readonly nowMs: () => number;
  readonly retryBudget: RetryBudget;
}

/** An upstream and the estimated cost of running a request there. */
interface Candidate {
  readonly state: UpstreamState;
  readonly startMs: number;
  /** Start time, weighted run time and penalties. */
  readonly costMs: number;
}

/**
 * Priority queue of one service. Binds late: a request is placed only when an
 * upstream has a free slot, the highest tier first, and within a tier first the
 * requests that can still meet their objective. Bursts beyond the slots wait
 * here, because engines without priorities would mix the tiers.
 */
export class DispatchQueue {
  /** Upstreams of the service by instance id. */
  readonly upstreams = new Map<string, UpstreamState>();
  private readonly waiting = new WaitingList();
  private readonly latency = new LatencyEstimator();
  private readonly entryMonitor = new EntryMonitor();
  /** Fingerprints of refused requests that their callers may repeat. */
  private readonly refusedFingerprints = new LRUCache<string, true>({
    max: MAX_REFUSED_FINGERPRINTS,
    ttl: REFUSED_FINGERPRINT_TTL_MS,
  });

  constructor(private readonly options: DispatchQueueOptions) {}

  /** Retry budget of the service. */
  get retryBudget(): RetryBudget {
    return this.options.retryBudget;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Number of granted requests that have not ended. */
  get runningCount(): number {
    let count = 0;
    for (const state of this.upstreams.values()) count += state.runs.size;
    return count;
  }

  /** Queues a request; `answer` gets its placement or refusal, now or later. */
  submit(request: GrantRequest, answer: (answer: QueueAnswer) => void): void {
    const now = this.options.nowMs();
    this.entryMonitor.recordContact(request.entryId, now);
    if (!request.isRetry) this.options.retryBudget.recordRequest();
    else if (!this.options.retryBudget.tryTake(now)) {
      const retryAfterMs = MIN_RETRY_AFTER_MS;
      answer({
        kind: 'refused',
        reason: QUEUE_REFUSAL.BUDGET_SPENT,
        retryAfterMs,
      });
      return;
    }
    const minStartMs = this.latency.minStartMs(
      this.upstreams.values(),
      request.promptTokens,
    );
    const wasRefused = this.refusedFingerprints.has(request.fingerprint);
    const waiting = {
      request,
      answer,
      arrivedAtMs: now,
      objectiveAtMs: now + request.objectiveLeftMs,
      // Placed later, the request could not start while its caller waits.
      placementDeadlineMs: now + request.patienceLeftMs - minStartMs,
      wasRefused,
      // The objective counts from the caller's first attempt.
      isLate: wasRefused,
    };
    const refusal = this.admit(waiting, now);
    if (refusal) {
      this.refuse(waiting, refusal);
      return;
    }
    this.waiting.add(waiting);
    this.placeWaiting();
  }

  /** Removes a waiting request without answering it. */
  cancel(requestId: string): void {
    this.waiting.remove(requestId);
  }

  /** Records the first byte of a response in the upstream's state. */
  handleStartReport(report: StartReport): void {
    const now = this.options.nowMs();
    for (const state of this.upstreams.values()) {
      const run = state.runs.get(report.requestId);
      if (!run) continue;
      this.latency.observeStart(state, run.promptTokens, report.startMs);
      state.recordStart(report.requestId, report.load, now);
      return;
    }
  }

  /** Frees the slot of a run and updates the estimates with its outcome. */
  handleEndReport(report: EndReport): void {
    const now = this.options.nowMs();
    for (const state of this.upstreams.values()) {
      if (!state.runs.has(report.requestId)) continue;
      state.recordEnd(report, now);
      if (report.end === RUN_END.COMPLETED) {
        this.latency.observeRun(this.upstreams.values(), report.runMs);
      }
      break;
    }
    this.placeWaiting();
  }

  /**
   * Compares the recorded runs of an entry with those that it reports. A run that
   * is not reported has ended and its end report was lost; a reported run that is
   * not recorded was granted by an earlier dispatcher.
   */
  reconcile(
    entryId: string,
    runs: readonly {requestId: string; instanceId: string}[],
  ): void {
    const now = this.options.nowMs();
    this.entryMonitor.recordContact(entryId, now);
    const reportedIds = new Set(runs.map(run => run.requestId));
    for (const state of this.upstreams.values()) {
      for (const run of [...state.runs.values()]) {
        const isReconcilable = now - run.grantedAtMs > MIN_RECONCILE_AGE_MS;
        if (run.entryId !== entryId || !isReconcilable) continue;
        if (!reportedIds.has(run.requestId)) state.runs.delete(run.requestId);
      }
    }
    for (const {requestId, instanceId} of runs) {
      this.upstreams.get(instanceId)?.confirmRun(requestId, entryId, now);
    }
    this.placeWaiting();
  }

  /** Replaces the list of upstreams; unchanged instances keep their state. */
  setUpstreams(specs: readonly UpstreamSpec[]): void {
    const ids = new Set(specs.map(spec => spec.instanceId));
    for (const id of this.upstreams.keys()) {
      if (!ids.has(id)) this.upstreams.delete(id);
    }
    for (const spec of specs) {
      const existing = this.upstreams.get(spec.instanceId);
      const isSame =
        existing?.spec.startedAtUnixMs === spec.startedAtUnixMs &&
        existing?.spec.address === spec.address;
      if (existing && isSame) existing.spec = spec;
      else this.upstreams.set(spec.instanceId, new UpstreamState(spec));
    }
    this.placeWaiting();
  }

  /**
   * Marks an entry that is suspected to have failed. Its runs keep their slots
   * only for the expected run time, since their end reports may never arrive.
   */
  markEntrySuspected(entryId: string): void {
    this.entryMonitor.markSuspected(entryId);
  }

  /** Refuses requests that can't start in time, drops lost runs, places others. */
  tick(): void {
    const now = this.options.nowMs();
    const slotsPerMs = this.latency.slotsFreedPerMs(this.usable(now));
    for (const waiting of this.waiting.takeUnplaceable(now, slotsPerMs)) {
      const isExpired = waiting.placementDeadlineMs <= now;
      const {EXPIRED, OVERLOADED} = QUEUE_REFUSAL;
      this.refuse(waiting, isExpired ? EXPIRED : OVERLOADED);
    }
    this.entryMonitor.dropRuns(
      this.upstreams.values(),
      now,
      (run, state) => now - run.grantedAtMs > this.latency.predictRunMs(state),
    );
    // If the answer to a grant is lost, no entry has the run, and an entry without
    // other runs sends no report that would reveal it.
    for (const state of this.upstreams.values()) {
      state.dropUnconfirmed(now, ENTRY_TIMEOUT_MS);
    }
    this.placeWaiting();
  }

  /** Empties the queue; each request is answered with `moved`. */
  close(): void {
    for (const {answer} of this.waiting.takeAll()) answer({kind: 'moved'});
  }

  /** Reason to refuse a new request, or null if it may be queued. */
  private admit(waiting: WaitingRequest, now: number): QueueRefusal | null {
    const {request, placementDeadlineMs} = waiting;
    if (this.upstreams.size === 0) return QUEUE_REFUSAL.NO_UPSTREAM;
    if (placementDeadlineMs <= now) return QUEUE_REFUSAL.EXPIRED;
    if (this.waiting.size >= MAX_WAITING) {
      const last = this.waiting.takeLastBelowTier(request.tier);
      if (!last) return QUEUE_REFUSAL.OVERLOADED;
      this.refuse(last, QUEUE_REFUSAL.OVERLOADED);
    }
    const placedAtMs = now + this.expectedWaitMs(waiting, now);
    return placedAtMs > placementDeadlineMs ? QUEUE_REFUSAL.OVERLOADED : null;
  }

  /** Refuses a request and remembers its fingerprint, in case it is repeated. */
  private refuse(waiting: WaitingRequest, reason: QueueRefusal): void {
    const waitMs = this.expectedWaitMs(waiting, this.options.nowMs());
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(
        MIN_OVERLOAD_RETRY_AFTER_MS,
        Math.ceil(RETRY_AFTER_WAIT_FACTOR * waitMs),
      ),
    );
    this.refusedFingerprints.set(waiting.request.fingerprint, true);
    waiting.answer({kind: 'refused', reason, retryAfterMs});
  }

  /** Expected milliseconds until the requests ahead of this one are placed. */
  private expectedWaitMs(waiting: WaitingRequest, now: number): number {
    const ahead = this.waiting.countBefore(waiting);
    if (ahead === 0) return 0;
    const slotsPerMs = this.latency.slotsFreedPerMs(this.usable(now));
    return slotsPerMs === 0 ? MAX_RETRY_AFTER_MS : ahead / slotsPerMs;
  }

  private usable(now: number): UpstreamState[] {
    return [...this.upstreams.values()].filter(state => state.isUsable(now));
  }

  private placeWaiting(): void {
    if (this.waiting.size === 0) return;
    const now = this.options.nowMs();
    const usable = this.usable(now);
    let free = usable.filter(state => state.freeSlots(now) > 0);
    for (const waiting of this.waiting.peek(PLACEMENT_WINDOW)) {
      if (free.length === 0) return;
      const wasLate = waiting.isLate;
      const candidate = this.chooseUpstream(waiting, usable, free, now);
      if (waiting.isLate !== wasLate) {
        // It now queues behind its own tier, but still ahead of lower tiers.
        this.placeWaiting();
        return;
      }
      if (!candidate) continue;
      this.waiting.remove(waiting.request.requestId);
      this.grant(waiting, candidate, now);
      if (candidate.state.freeSlots(now) <= 0) {
        free = free.filter(state => state !== candidate.state);
      }
    }
  }

  /**
   * Chooses the cheapest free upstream. Null where the request has to wait: for a
   * busy upstream that would meet the objective when no free one does, for an
   * upstream that has not failed this request, or, having just become late,
   * behind requests that can still meet their objective.
   */
  private chooseUpstream(
    waiting: WaitingRequest,
    usable: readonly UpstreamState[],
    free: readonly UpstreamState[],
    now: number,
  ): Candidate | null {
    const {request} = waiting;
    const hasSafeTarget = usable.some(state => state.acceptsNonRepeatable(now));
    const eligible =
      request.isRepeatable || !hasSafeTarget
        ? free
        : free.filter(state => state.acceptsNonRepeatable(now));
    const notExcluded = eligible.filter(
      state => !request.excluded.includes(state.spec.instanceId),
    );
    const candidates = notExcluded.length > 0 ? notExcluded : eligible;
    // A retry goes to the same upstream only if the service has no other.
    const hasAlternative = usable.some(
      state => !request.excluded.includes(state.spec.instanceId),
    );
    if (notExcluded.length === 0 && hasAlternative) return null;
    const best = this.findCheapest(request, candidates);
    if (!best || waiting.isLate) return best;
    const leftMs = waiting.objectiveAtMs - now;
    if (best.startMs <= leftMs) return best;
    if (this.canMeetLater(request, usable, leftMs)) return null;
    this.waiting.markLate(waiting);
    return null;
  }

  private findCheapest(
    request: GrantRequest,
    states: readonly UpstreamState[],
  ): Candidate | null {
    let best: Candidate | null = null;
    for (const state of states) {
      const candidate = this.estimateCost(request, state);
      if (!best || candidate.costMs < best.costMs) best = candidate;
    }
    return best;
  }

  /** Estimates the cost of a request at an upstream in milliseconds. */
  private estimateCost(request: GrantRequest, state: UpstreamState): Candidate {
    const startMs = this.latency.predictStartMs(state, request.promptTokens);
    const {zone} = state.spec;
    const crossZoneMs = zone === request.zone ? 0 : CROSS_ZONE_COST_MS;
    const isAvoided = request.avoidedZones.includes(zone);
    const zoneMs = isAvoided ? AVOIDED_ZONE_COST_MS : crossZoneMs;
    const costMs =
      startMs +
      RUN_TIME_WEIGHT * this.latency.predictRunMs(state) +
      FAILURE_COST_MS * state.failureRate +
      zoneMs;
    return {state, startMs, costMs};
  }

  /** Whether waiting for a slot of a busy upstream would meet the objective. */
  private canMeetLater(
    request: GrantRequest,
    usable: readonly UpstreamState[],
    leftMs: number,
  ): boolean {
    return usable.some(state => {
      const slots = Math.max(1, state.spec.slots);
      const slotWaitMs = this.latency.predictRunMs(state) / slots;
      return slotWaitMs + this.estimateCost(request, state).startMs <= leftMs;
    });
  }

  private grant(
    waiting: WaitingRequest,
    {state, startMs}: Candidate,
    now: number,
  ): void {
    const {request} = waiting;
    const freeSlots = state.freeSlots(now);
    state.runs.set(request.requestId, {
      requestId: request.requestId,
      entryId: request.entryId,
      promptTokens: request.promptTokens,
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
