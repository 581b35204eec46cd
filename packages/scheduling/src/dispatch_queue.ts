import {LRUCache} from 'lru-cache';
import {BrittleGuard} from './brittle_guard.js';
import {
  ENTRY_TIMEOUT_MS,
  MAX_REFUSED_FINGERPRINTS,
  MAX_RETRY_AFTER_MS,
  MAX_WAITING,
  MIN_RECONCILE_AGE_MS,
  MIN_RETRY_AFTER_MS,
  QUEUE_REFUSAL,
  REFUSED_FINGERPRINT_TTL_MS,
  RUN_END,
} from './constants.js';
import {EntryMonitor} from './entry_monitor.js';
import {LatencyEstimator} from './latency_estimator.js';
import type {PlacementChange} from './placing/placement_pass.js';
import {PlacementPass} from './placing/placement_pass.js';
import type {RateEstimator} from './placement_rate.js';
import {createRateEstimator} from './placement_rate.js';
import {lackOf} from './required_version.js';
import {retryAfterMs} from './retry_after.js';
import type {RetryBudget} from './retry_budget.js';
import type {
  EndedRun,
  EndReport,
  GrantRequest,
  QueueAnswer,
  QueueRefusal,
  StartReport,
  UpstreamSpec,
} from './types.js';
import type {HeldTokens} from './upstream_choice.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import {UpstreamState} from './upstream_state.js';
import {WaitingList} from './waiting_list.js';
import type {WaitingRequest} from './waiting_request.js';

/** Clock and retry budget that a queue is created with. */
export interface DispatchQueueOptions {
  /** Monotonic milliseconds. */
  readonly nowMs: () => number;
  readonly retryBudget: RetryBudget;
  readonly rateLimiter: UpstreamRateLimiter;
  /** Whether a member that can't be reached may own the queue as well. */
  readonly mayHaveOtherOwner: () => boolean;
  /** What upstreams hold of a prompt; nothing if unset. */
  readonly heldTokens?: HeldTokens;
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
  private readonly placement: PlacementPass;
  private readonly entryMonitor = new EntryMonitor();
  /** Fingerprints of refused requests that their callers may repeat. */
  private readonly refusedFingerprints = new LRUCache<string, true>({
    max: MAX_REFUSED_FINGERPRINTS,
    ttl: REFUSED_FINGERPRINT_TTL_MS,
  });

  private readonly brittleGuard: BrittleGuard;

  constructor(private readonly options: DispatchQueueOptions) {
    const {rateLimiter, mayHaveOtherOwner, nowMs} = options;
    this.brittleGuard = new BrittleGuard(
      rateLimiter,
      mayHaveOtherOwner,
      nowMs(),
    );
    this.placement = new PlacementPass({
      waiting: this.waiting,
      latency: this.latency,
      rateLimiter,
      brittleGuard: this.brittleGuard,
      heldTokens: options.heldTokens ?? (() => 0),
    });
  }

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
      answer({
        kind: 'refused',
        reason: QUEUE_REFUSAL.BUDGET_SPENT,
        retryAfterMs: MIN_RETRY_AFTER_MS,
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
    this.placeWaiting({request: waiting});
  }

  /** Removes a waiting request without answering it. */
  cancel(requestId: string): void {
    const waiting = this.waiting.remove(requestId);
    if (waiting?.request.isRetry) this.options.retryBudget.giveBack();
  }

  /** Records the first byte of a response in the upstream's state. */
  handleStartReport(report: StartReport): void {
    const now = this.options.nowMs();
    for (const state of this.upstreams.values()) {
      const run = state.runs.get(report.requestId);
      if (!run) continue;
      this.latency.observeStart(state, run, report, now);
      state.recordStart(report.requestId, report.load, now);
      this.placement.recordChange(state);
      return;
    }
  }

  /**
   * Frees the slot of a run and updates the estimates with its outcome; returns
   * what it ended, or null if the run is not known.
   */
  handleEndReport(report: EndReport): EndedRun | null {
    const now = this.options.nowMs();
    if (report.end === RUN_END.REJECTED) this.brittleGuard.recordDoubt(now);
    let ended: EndedRun | null = null;
    let change: PlacementChange | null = null;
    for (const state of this.upstreams.values()) {
      const run = state.runs.get(report.requestId);
      if (!run) continue;
      const wasUsable = state.isUsable(now);
      state.recordEnd(report, now);
      change = {state};
      this.placement.recordChange(state);
      if (report.end === RUN_END.COMPLETED) {
        this.latency.observeRun(this.upstreams.values(), state, report);
      }
      ended = {
        instanceId: state.spec.instanceId,
        entryId: run.entryId,
        hasStartedBackoff: wasUsable && !state.isUsable(now),
      };
      break;
    }
    this.placeWaiting(change);
    return ended;
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
    this.placement.retain(this.upstreams.values());
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
    if (this.waiting.size > 0) this.refuseUnplaceable(now);
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

  /** Refuses requests that can't start in time, or that nothing can serve. */
  private refuseUnplaceable(now: number): void {
    const {EXPIRED, OVERLOADED} = QUEUE_REFUSAL;
    const {staying} = this;
    const unplaceable = this.waiting.takeUnplaceable(
      now,
      this.rateEstimator(now),
    );
    const unserved = this.waiting.takeWhere(
      ({request}) => lackOf(request, staying) !== null,
    );
    for (const waiting of [...unserved, ...unplaceable]) {
      const isExpired = waiting.placementDeadlineMs <= now;
      const reason = isExpired ? EXPIRED : OVERLOADED;
      this.refuse(waiting, lackOf(waiting.request, staying) ?? reason);
    }
  }

  /** Upstreams that are not leaving. */
  private get staying(): UpstreamSpec[] {
    const specs = [...this.upstreams.values()].map(({spec}) => spec);
    return specs.filter(({isLeaving}) => !isLeaving);
  }

  /** Reason to refuse a new request, or null if it may be queued. */
  private admit(waiting: WaitingRequest, now: number): QueueRefusal | null {
    const {request, placementDeadlineMs} = waiting;
    const lack = lackOf(request, this.staying);
    if (lack) return lack;
    if (placementDeadlineMs <= now) return QUEUE_REFUSAL.EXPIRED;
    if (this.waiting.size >= MAX_WAITING) {
      const last = this.waiting.takeLastBelowTier(request.tier);
      if (!last) return QUEUE_REFUSAL.OVERLOADED;
      this.refuse(last, QUEUE_REFUSAL.OVERLOADED);
    }
    const rates = this.rateEstimator(now);
    const placedAtMs = now + this.expectedWaitMs(waiting, rates);
    return placedAtMs > placementDeadlineMs ? QUEUE_REFUSAL.OVERLOADED : null;
  }

  /** Refuses a request and remembers its fingerprint, in case it is repeated. */
  private refuse(waiting: WaitingRequest, reason: QueueRefusal): void {
    const rates = this.rateEstimator(this.options.nowMs());
    const waitMs = this.expectedWaitMs(waiting, rates);
    const {request, answer} = waiting;
    const afterMs = retryAfterMs(waitMs, rates.rateFor(request));
    if (request.isRetry) this.options.retryBudget.giveBack();
    this.refusedFingerprints.set(request.fingerprint, true);
    answer({kind: 'refused', reason, retryAfterMs: afterMs});
  }

  /** Expected milliseconds until the requests ahead of this one are placed. */
  private expectedWaitMs(
    waiting: WaitingRequest,
    rates: RateEstimator,
  ): number {
    return this.waiting.expectedWaitMs(waiting, rates, MAX_RETRY_AFTER_MS);
  }

  private rateEstimator(now: number): RateEstimator {
    return createRateEstimator(
      this.usable(now),
      this.waiting.requiredVersions,
      this.latency,
      this.options.rateLimiter,
      now,
    );
  }

  private usable(now: number): UpstreamState[] {
    return [...this.upstreams.values()].filter(state => state.isUsable(now));
  }

  private placeWaiting(change: PlacementChange | null = null): void {
    if (this.waiting.size === 0) return;
    const now = this.options.nowMs();
    this.placement.run(this.usable(now), now, change);
  }
}
