import type {BrittleGuard} from './brittle_guard.js';
import {
  ENTRY_TIMEOUT_MS,
  MIN_RECONCILE_AGE_MS,
  MIN_RETRY_AFTER_MS,
  QUEUE_REFUSAL,
  RUN_END,
} from './constants.js';
import {EntryMonitor} from './entry_monitor.js';
import {LatencyEstimator} from './latency_estimator.js';
import type {GrantRecord, PlacementChange} from './placing/placement_pass.js';
import {PlacementPass} from './placing/placement_pass.js';
import type {RateEstimator} from './placement_rate.js';
import {createRateEstimator} from './placement_rate.js';
import {PromptPrefixes} from './prefix/prompt_prefixes.js';
import type {QueuePreview} from './preview/queue_preview.js';
import {previewRequest} from './preview/queue_preview.js';
import {AccountShares} from './fairness/account_shares.js';
import {RefusalPolicy} from './refusals/refusal_policy.js';
import type {ReturnCounts} from './refusals/return_ledger.js';
import type {VersionGate} from './rollout/index.js';
import {GatedUpstreams, OPEN_GATE} from './rollout/index.js';
import type {RetryBudget} from './retry_budget.js';
import type {
  EndedRun,
  EndReport,
  GrantRequest,
  QueueAnswer,
  StartReport,
  UpstreamSpec,
} from './types.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import {UpstreamState} from './upstream_state.js';
import {WaitingList} from './waiting_list.js';

/** Clock and retry budget that a queue is created with. */
export interface DispatchQueueOptions {
  /** Monotonic milliseconds. */
  readonly nowMs: () => number;
  readonly retryBudget: RetryBudget;
  readonly rateLimiter: UpstreamRateLimiter;
  /** What is known of the service's brittle upstreams. */
  readonly brittleGuard: BrittleGuard;
  /** Called when the retry budget grants or refuses a retry. */
  readonly onRetryDecision?: (
    request: GrantRequest,
    isGranted: boolean,
  ) => void;
  /** Decides which software versions may get a request; all without it. */
  readonly versionGate?: () => VersionGate;
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
  /** Parts of prompts that the upstreams hold. */
  readonly prefixes: PromptPrefixes;
  private readonly gated: GatedUpstreams;
  private readonly waiting = new WaitingList();
  private readonly latency = new LatencyEstimator();
  private readonly placement: PlacementPass;
  private readonly entryMonitor = new EntryMonitor();
  private readonly shares = new AccountShares();
  private readonly refusals = new RefusalPolicy({
    waiting: this.waiting,
    ratesAt: nowMs => this.rateEstimator(nowMs),
    staying: () => this.gated.staying(this.options.nowMs()),
    onRefused: ({isRetry}) => {
      if (isRetry) this.options.retryBudget.giveBack();
    },
  });

  constructor(private readonly options: DispatchQueueOptions) {
    const {rateLimiter, brittleGuard} = options;
    const {versionGate = () => OPEN_GATE} = options;
    this.gated = new GatedUpstreams(this.upstreams, versionGate);
    this.prefixes = new PromptPrefixes(this.latency);
    this.placement = new PlacementPass({
      waiting: this.waiting,
      latency: this.latency,
      rateLimiter,
      brittleGuard,
      gated: this.gated,
      heldTokens: this.prefixes.heldTokens,
      recordGrant: (request, state, now) =>
        this.recordGrant(request, state, now),
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

  /** What became of callers that were told to come back. */
  get returnCounts(): ReturnCounts {
    return this.refusals.returnCounts;
  }

  /** Queues a request; `answer` gets its placement or refusal, now or later. */
  submit(request: GrantRequest, answer: (answer: QueueAnswer) => void): void {
    const now = this.options.nowMs();
    this.recordContact(request.entryId, now);
    if (!this.isInBudget(request, now)) {
      answer({
        kind: 'refused',
        reason: QUEUE_REFUSAL.BUDGET_SPENT,
        retryAfterMs: MIN_RETRY_AFTER_MS,
      });
      return;
    }
    const idleStartMs = this.idleStartMs(request.promptTokens);
    const waiting = this.refusals.receive(request, answer, idleStartMs, now);
    this.shares.recordWanted(request, now);
    waiting.shareLevel = this.shares.levelOf(request, now);
    if (!this.refusals.admit(waiting, now)) return;
    this.waiting.add(waiting);
    this.placeWaiting({request: waiting});
  }

  /** Where a request would go now, and why; changes nothing. */
  preview(request: GrantRequest): QueuePreview {
    const now = this.options.nowMs();
    const idleStartMs = this.idleStartMs(request.promptTokens);
    const forecast = this.refusals.forecast(request, idleStartMs, now);
    const {placement} = this;
    const usable = this.gated.usableOfAnyVersion(now);
    return previewRequest({
      ...forecast,
      nowMs: now,
      states: [...this.upstreams.values()],
      free: usable.filter(state => placement.hasRoom(state, now)),
      rateLimiter: this.options.rateLimiter,
      mayTake: state => this.gated.mayTake(request, state, now),
      waitingCount: this.waiting.size,
      choose: asked => placement.preview(asked, usable, now),
      estimate: state => placement.estimate(request, state),
      heldTokens: this.prefixes.heldTokens,
    });
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
      const readTokens = this.prefixes.recordStart(state, run, report.startMs);
      this.latency.observeStart(state, run, {...report, readTokens}, now);
      const idleStartMs = this.idleStartMs(readTokens);
      this.refusals.recordStart(idleStartMs, report.startMs);
      state.recordStart(report.requestId, report.load, now);
      this.options.brittleGuard.recordAccepted(state);
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
    this.gated.gate.recordEnd(report, now);
    let ended: EndedRun | null = null;
    let change: PlacementChange | null = null;
    for (const state of this.upstreams.values()) {
      const run = state.runs.get(report.requestId);
      if (!run) continue;
      const wasUsable = state.isUsable(now);
      const {brittleGuard} = this.options;
      const brittleRejection =
        report.end === RUN_END.REJECTED
          ? brittleGuard.recordRejection(state, now)
          : null;
      this.prefixes.recordEnd(state, report);
      state.recordEnd(report, now);
      change = {state};
      this.placement.recordChange(state);
      if (report.end === RUN_END.COMPLETED) {
        brittleGuard.recordAccepted(state);
        this.latency.observeRun(this.upstreams.values(), state, report, run);
      }
      ended = {
        instanceId: state.spec.instanceId,
        entryId: run.entryId,
        hasStartedBackoff: wasUsable && !state.isUsable(now),
        brittleRejection,
      };
      break;
    }
    // Another owner has granted it.
    const isForeign = ended === null && report.end === RUN_END.REJECTED;
    if (isForeign) this.options.brittleGuard.recordDoubt(now);
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
    this.recordContact(entryId, now);
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
    this.gated.observe(now);
    if (this.waiting.size > 0) {
      this.waiting.updateShareLevels(req => this.shares.levelOf(req, now));
      this.refusals.refuseUnplaceable(now);
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

  private recordContact(entryId: string, now: number): void {
    this.entryMonitor.recordContact(entryId, now);
    this.options.brittleGuard.recordContact(entryId, now);
    this.options.retryBudget.recordContact(entryId, now);
  }

  /** Counts a request in the retry budget; returns whether it may be queued. */
  private isInBudget(request: GrantRequest, now: number): boolean {
    const {retryBudget, onRetryDecision} = this.options;
    if (request.lendsRetries) retryBudget.recordLoan();
    if (!request.isRetry) {
      if (!request.isAskedAgain) retryBudget.recordRequest();
      return true;
    }
    const isGranted = retryBudget.tryTake(now);
    onRetryDecision?.(request, isGranted);
    return isGranted;
  }

  /** Expected milliseconds to the first byte on the fastest idle upstream. */
  private idleStartMs(promptTokens: number): number {
    return this.latency.minStartMs(this.upstreams.values(), promptTokens);
  }

  private rateEstimator(now: number): RateEstimator {
    return createRateEstimator(
      this.gated.usable(now),
      this.waiting.requiredVersions,
      this.latency,
      this.options.rateLimiter,
      now,
    );
  }

  private placeWaiting(change: PlacementChange | null = null): void {
    if (this.waiting.size === 0) return;
    const now = this.options.nowMs();
    this.placement.run(this.gated.usableOfAnyVersion(now), now, change);
  }

  /** Accounts for a grant that is about to be made. */
  private recordGrant(
    request: GrantRequest,
    state: UpstreamState,
    now: number,
  ): GrantRecord {
    if (this.waiting.hasOtherAccount(request)) {
      this.shares.recordContested(request, now);
    }
    const states = this.upstreams.values();
    const held = this.prefixes.recordGrant(state, request, states);
    const isTrial = this.gated.gate.recordGrant(request, state.spec, now);
    return {...held, isTrial};
  }
}
