import PQueue from 'p-queue';
import type {CellOptions} from './cell_options.js';
import type {CellStatus} from './cell_status.js';
import {describeCell} from './cell_status.js';
import {
  CELL_TICK_INTERVAL_MS,
  GRANT_KIND,
  MAX_FAILED_POLLS,
  MAX_TICK_GAP_MS,
  ORPHAN_TTL_MS,
  REFUSAL_REASON,
  REGISTRATION_TIMEOUT_MS,
  RELEASE_KIND,
} from './constants.js';
import {LoadShedder} from './load_shedder.js';
import {OutputLengthEstimator} from './output_length_estimator.js';
import {findPlacement} from './placement_search.js';
import type {TierQueueOptions, WaitingRequest} from './tier_queue.js';
import {TierQueue} from './tier_queue.js';
import type {
  GrantAnswer,
  GrantRequest,
  LoadReport,
  ProgressReport,
  ReleaseReport,
  RunningRequest,
  UpstreamSpec,
} from './types.js';
import type {ActiveRun} from './upstream_state.js';
import {
  crashEvidenceOf,
  groupRunIdsByEntry,
  updateStragglers,
  UpstreamState,
} from './upstream_state.js';

/**
 * A cell is the single queue of a service together with its upstreams. It
 * grants upstreams to waiting requests and tracks the running ones. All state
 * is soft: a new dispatcher rebuilds the cell from the runs that the entries
 * register.
 */
export class Cell {
  readonly upstreams = new Map<string, UpstreamState>();
  private readonly lengths = new OutputLengthEstimator();
  private readonly runs = new Map<string, ActiveRun>();
  private readonly queue: PQueue<TierQueue, TierQueueOptions>;
  private readonly waiting: TierQueue;
  private readonly shedder: LoadShedder;
  private readonly timer: NodeJS.Timeout;
  private readonly startTimer: NodeJS.Timeout;
  private lastTickMs: number;
  /** Members that have yet to register; grants wait for them or a timeout. */
  private unregisteredMembers: Set<string>;

  constructor(
    private readonly options: CellOptions,
    members: readonly string[],
  ) {
    this.unregisteredMembers = new Set(members);
    const waiting = new TierQueue(queue => this.findNext(queue));
    this.waiting = waiting;
    this.shedder = new LoadShedder(options, waiting, this.runs, this.upstreams);
    this.queue = new PQueue<TierQueue, TierQueueOptions>({
      // p-queue instantiates its queue, so the constructor returns this one.
      queueClass: class {
        constructor() {
          return waiting;
        }
      } as unknown as new () => TierQueue,
      autoStart: members.length === 0,
    });
    this.lastTickMs = options.clock.monotonicMs();
    this.timer = setInterval(() => this.tick(), CELL_TICK_INTERVAL_MS);
    this.startTimer = setTimeout(() => this.start(), REGISTRATION_TIMEOUT_MS);
  }

  /** Number of granted requests that occupy a slot. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.waitingCount;
  }

  /** Resolves once an upstream is granted, or the request is refused. */
  async request(request: GrantRequest): Promise<GrantAnswer> {
    if (this.isStale()) {
      this.options.onStale();
      return {kind: GRANT_KIND.MOVED};
    }
    const joined = this.options.joinableRuns.find(request.joinKey);
    if (joined) return this.joinRun(request, joined);
    const refusal = this.shedder.admit(request);
    if (refusal) return refusal;
    return new Promise(resolve => this.enqueue(request, resolve));
  }

  /** Removes a waiting request; does nothing once it has been granted. */
  cancel(requestId: string): void {
    const item = this.waiting.remove(requestId);
    item?.waiting.answer({kind: GRANT_KIND.MOVED});
  }

  /** Records the first token of a run and the speed of its upstream. */
  recordProgress(report: ProgressReport): void {
    const run = this.runs.get(report.requestId);
    if (!run) return;
    const isFirst = !run.hasFirstToken;
    run.hasFirstToken = true;
    if (report.tokenIntervalMs !== null) {
      this.options.crashes.recordSurvival(run.request.prefixHashes);
      const upstream = this.upstreams.get(run.upstreamId);
      upstream?.recordTokenInterval(report.tokenIntervalMs);
      updateStragglers([...this.upstreams.values()]);
    }
    if (isFirst) this.retryPlacement();
  }

  /** Frees the slot of an ended run and updates the estimates from it. */
  release(report: ReleaseReport): void {
    const run = this.runs.get(report.requestId);
    if (!run) return;
    const upstream = this.upstreams.get(run.upstreamId);
    if (report.kind === RELEASE_KIND.COMPLETED) {
      upstream?.recordCompletion(run, report);
      this.options.crashes.recordSurvival(run.request.prefixHashes);
      const {accountId, maxTokens} = run.request;
      this.lengths.recordLength(accountId, maxTokens, report.outputTokens);
      updateStragglers([...this.upstreams.values()]);
    } else {
      this.options.joinableRuns.removeRun(run);
    }
    if (report.kind === RELEASE_KIND.UPSTREAM_DIED) {
      this.options.crashes.recordDeath(run.upstreamId, crashEvidenceOf(run));
      if (upstream) upstream.isDown = true;
    }
    this.endRun(run);
  }

  /**
   * Replaces the tracked runs of a member after a change of dispatcher. Tracked
   * runs of the member that it does not list have ended in the meantime.
   */
  register(memberId: string, running: readonly RunningRequest[]): void {
    const ids = new Set(running.map(run => run.request.requestId));
    this.endRunsOf(memberId, run => !ids.has(run.request.requestId));
    for (const run of running) this.trackRegistered(run);
    this.unregisteredMembers.delete(memberId);
    if (this.unregisteredMembers.size === 0) this.start();
  }

  /** Request ids of the runs at least `ageMs` old, grouped by their entry. */
  runsOlderThan(ageMs: number): Map<string, string[]> {
    const startedBeforeMs = this.options.clock.monotonicMs() - ageMs;
    return groupRunIdsByEntry(this.runs.values(), startedBeforeMs);
  }

  /** Ends the runs that a member has reported as ended. */
  endRuns(memberId: string, requestIds: ReadonlySet<string>): void {
    this.endRunsOf(memberId, run => requestIds.has(run.request.requestId));
  }

  /** Called when the entries have confirmed which runs are still active. */
  handleRunsVerified(): void {
    this.shedder.markRunsVerified();
  }

  /** Drops waiting requests of a lost entry; keeps its runs as orphans. */
  handleEntryLoss(memberId: string): void {
    for (const waiting of [...this.waiting.all()]) {
      if (waiting.request.entryId !== memberId) continue;
      this.cancel(waiting.request.requestId);
    }
    const nowMs = this.options.clock.monotonicMs();
    for (const run of this.runs.values()) {
      if (run.request.entryId === memberId) run.orphanedAtMs ??= nowMs;
    }
    this.unregisteredMembers.delete(memberId);
    if (this.unregisteredMembers.size === 0) this.start();
  }

  /** Replaces the list of upstreams, keeping the state of those that stay. */
  setUpstreams(specs: readonly UpstreamSpec[]): void {
    const ids = new Set(specs.map(spec => spec.id));
    for (const id of this.upstreams.keys()) {
      if (!ids.has(id)) this.upstreams.delete(id);
    }
    for (const spec of specs) {
      const existing = this.upstreams.get(spec.id);
      if (existing) existing.updateSpec(spec);
      else this.upstreams.set(spec.id, new UpstreamState(spec));
    }
    this.retryPlacement();
  }

  /** Applies an upstream's load report; null stands for a failed poll. */
  applyLoad(upstreamId: string, load: LoadReport | null): void {
    const upstream = this.upstreams.get(upstreamId);
    if (!upstream) return;
    if (load) {
      upstream.applyLoad(load);
    } else {
      upstream.failedPolls++;
      if (upstream.failedPolls >= MAX_FAILED_POLLS) upstream.isDown = true;
    }
    this.retryPlacement();
  }

  /** Refuses requests that miss their deadlines, preempts for urgent ones. */
  checkDeadlines(): void {
    this.lastTickMs = this.options.clock.monotonicMs();
    this.shedder.refuseCrashSuspects();
    if (!this.options.policy.honoursTiers) return;
    this.shedder.refuseAndPreempt(this.lastTickMs);
  }

  /** Stops the cell; waiting requests are sent to the next dispatcher. */
  close(): void {
    clearInterval(this.timer);
    clearTimeout(this.startTimer);
    this.queue.pause();
    for (const waiting of [...this.waiting.all()]) {
      this.cancel(waiting.request.requestId);
    }
    for (const run of this.runs.values()) run.release();
  }

  /** Snapshot for operators, with a waiting count for each tier. */
  status(tierCount: number): CellStatus {
    const {service} = this.options;
    const states = this.upstreams.values();
    return describeCell(service, tierCount, this.waiting, states);
  }

  private start(): void {
    clearTimeout(this.startTimer);
    this.unregisteredMembers.clear();
    this.queue.start();
  }

  /** Makes p-queue look for a placement; setting `concurrency` triggers it. */
  private retryPlacement(): void {
    this.queue.concurrency = Infinity;
  }

  private findNext(queue: TierQueue): ReturnType<typeof findPlacement> {
    return findPlacement(queue, [...this.upstreams.values()], {
      nowMs: this.options.clock.monotonicMs(),
      policy: this.options.policy,
      random: this.options.random,
      hasRecordedDeath: ({fingerprint}) =>
        this.options.crashes.hasRecordedDeath(fingerprint),
    });
  }

  private joinRun(request: GrantRequest, run: RunningRequest): GrantAnswer {
    const upstream = this.upstreams.get(run.upstreamId);
    if (!upstream) {
      return this.shedder.refusal(request, REFUSAL_REASON.ALREADY_RAN, null);
    }
    this.options.countEvent('joined', request);
    const active = this.runs.get(run.request.requestId);
    if (active) active.orphanedAtMs = null;
    return {
      kind: GRANT_KIND.JOINED,
      upstreamId: run.upstreamId,
      url: upstream.spec.url,
      runningRequestId: run.request.requestId,
    };
  }

  private enqueue(
    request: GrantRequest,
    answer: (answer: GrantAnswer) => void,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    const {accountId, maxTokens, promptTokens} = request;
    const expectedTokens = this.lengths.expectedTokens(accountId, maxTokens);
    const waiting: WaitingRequest = {
      request,
      arrivedAtMs: nowMs - request.waitedMs,
      deadlineAtMs: nowMs + request.remainingMs,
      expectedTokens,
      startTag: this.waiting.tagFor(request, promptTokens + expectedTokens),
      isExpectedLate: false,
      victimId: null,
      answer,
    };
    void this.queue.add(() => this.holdSlot(), {waiting});
    if (this.waiting.find(request.requestId))
      this.shedder.preemptIfUrgent(waiting, nowMs);
  }

  /** p-queue task of a granted request; lasts until its slot is released. */
  private async holdSlot(): Promise<void> {
    const {waiting, upstream} = this.waiting.takePlacement();
    const {request} = waiting;
    // A request with the same join key may have been granted meanwhile.
    const joined = this.options.joinableRuns.find(request.joinKey);
    if (joined) {
      waiting.answer(this.joinRun(request, joined));
      return;
    }
    await new Promise<void>(release => {
      const uncachedTokens = upstream.uncachedTokens(request);
      this.track({
        request,
        upstreamId: upstream.spec.id,
        startedAtMs: this.options.clock.monotonicMs(),
        expectedTokens: waiting.expectedTokens,
        uncachedTokens,
        hasFirstToken: false,
        preemptedAtMs: null,
        orphanedAtMs: null,
        release,
      });
      this.options.replicate({request, upstreamId: upstream.spec.id});
      waiting.answer({
        kind: GRANT_KIND.GRANTED,
        upstreamId: upstream.spec.id,
        url: upstream.spec.url,
      });
    });
  }

  private track(run: ActiveRun): void {
    const upstream = this.upstreams.get(run.upstreamId);
    this.runs.set(run.request.requestId, run);
    upstream?.runs.set(run.request.requestId, run);
    upstream?.prefixes.insert(run.request.prefixHashes);
    this.options.joinableRuns.record(run);
  }

  /** Tracks a run that an earlier dispatcher granted. */
  private trackRegistered(run: RunningRequest): void {
    const existing = this.runs.get(run.request.requestId);
    if (existing) {
      existing.orphanedAtMs = null;
      return;
    }
    const {accountId, maxTokens} = run.request;
    this.track({
      request: run.request,
      upstreamId: run.upstreamId,
      startedAtMs: this.options.clock.monotonicMs(),
      expectedTokens: this.lengths.expectedTokens(accountId, maxTokens),
      uncachedTokens: 0,
      hasFirstToken: true,
      preemptedAtMs: null,
      orphanedAtMs: null,
      release: () => this.retryPlacement(),
    });
  }

  private endRunsOf(
    memberId: string,
    hasEnded: (run: ActiveRun) => boolean,
  ): void {
    for (const run of [...this.runs.values()]) {
      if (run.request.entryId === memberId && hasEnded(run)) this.endRun(run);
    }
  }

  private endRun(run: ActiveRun): void {
    this.runs.delete(run.request.requestId);
    this.upstreams.get(run.upstreamId)?.runs.delete(run.request.requestId);
    run.release();
    this.retryPlacement();
    // Another urgent request may have taken the slot that preemption freed.
    if (run.preemptedAtMs !== null) this.shedder.preemptForUrgentRequests();
  }

  /** Whether the process was suspended, so that tracked runs are outdated. */
  private isStale(): boolean {
    const {clock} = this.options;
    return clock.monotonicMs() - this.lastTickMs > MAX_TICK_GAP_MS;
  }

  private tick(): void {
    if (this.isStale()) {
      this.options.onStale();
      return;
    }
    this.checkDeadlines();
    this.dropOrphans(this.lastTickMs);
    this.retryPlacement();
  }

  private dropOrphans(nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      if (run.orphanedAtMs === null) continue;
      if (nowMs - run.orphanedAtMs < ORPHAN_TTL_MS) continue;
      this.options.cancelOrphan(run);
      this.endRun(run);
    }
  }
}
