import PQueue from 'p-queue';
import type {CellOptions} from './cell_options.js';
import type {CellStatus} from './cell_status.js';
import {describeCell} from './cell_status.js';
import {
  CELL_TICK_INTERVAL_MS,
  GRANT_KIND,
  MAX_FAILED_POLLS,
  ORPHAN_TTL_MS,
  REFUSAL_REASON,
  RELEASE_KIND,
  REGISTRATION_TIMEOUT_MS,
  MAX_TICK_GAP_MS,
} from './constants.js';
import {OutputLengthEstimator} from './length_estimator.js';
import {findPlacement} from './placement_search.js';
import {LoadShedder} from './shedder.js';
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
  groupRunIdsByEntry,
  updateStragglers,
  UpstreamState,
} from './upstream_state.js';

/**
 * The one queue of a service. It grants upstreams to waiting requests, counts
 * what runs where, and holds soft state only: a successor is rebuilt from what
 * the entries register.
 */
export class Cell {
  readonly upstreams = new Map<string, UpstreamState>();
  private readonly lengths = new OutputLengthEstimator();
  private readonly runs = new Map<string, ActiveRun>();
  private readonly queue: PQueue<TierQueue, TierQueueOptions>;
  private readonly waiting: TierQueue;
  private readonly shedder: LoadShedder;
  private readonly timer: NodeJS.Timeout;
  private readonly settleTimer: NodeJS.Timeout;
  private lastTickMs: number;
  /** Members whose registration a new cell waits for. */
  private unregistered: Set<string>;

  constructor(
    private readonly options: CellOptions,
    members: readonly string[],
  ) {
    this.unregistered = new Set(members);
    const tierQueue = new TierQueue(queue => this.search(queue));
    this.waiting = tierQueue;
    this.shedder = new LoadShedder(
      options,
      tierQueue,
      this.runs,
      this.upstreams,
    );
    this.queue = new PQueue<TierQueue, TierQueueOptions>({
      // p-queue makes the queue itself, so the class returns the one above.
      queueClass: class {
        constructor() {
          return tierQueue;
        }
      } as unknown as new () => TierQueue,
      autoStart: members.length === 0,
    });
    this.lastTickMs = options.clock.monotonicMs();
    this.timer = setInterval(() => this.tick(), CELL_TICK_INTERVAL_MS);
    this.settleTimer = setTimeout(() => this.open(), REGISTRATION_TIMEOUT_MS);
  }

  /** Runs that the cell counts. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Requests that wait in the cell. */
  get waitingCount(): number {
    return this.waiting.waitingCount;
  }

  /** Waits until an upstream is granted or the request is refused. */
  async request(request: GrantRequest): Promise<GrantAnswer> {
    if (this.isStale()) {
      this.options.onStale();
      return {kind: GRANT_KIND.MOVED};
    }
    const joined = this.options.joinableRuns.find(request.joinKey);
    if (joined) return this.join(request, joined);
    const refusal = this.shedder.admit(request);
    if (refusal) return refusal;
    return new Promise(resolve => this.enqueue(request, resolve));
  }

  /** Gives up a waiting request. */
  cancel(requestId: string): void {
    const item = this.waiting.remove(requestId);
    item?.waiting.answer({kind: GRANT_KIND.MOVED});
  }

  /** Records the progress of a run. */
  recordProgress(report: ProgressReport): void {
    const run = this.runs.get(report.requestId);
    if (!run) return;
    const isFirst = !run.hasFirstToken;
    run.hasFirstToken = true;
    if (report.tokenIntervalMs !== null) {
      const upstream = this.upstreams.get(run.upstreamId);
      upstream?.recordTokenInterval(report.tokenIntervalMs);
      updateStragglers([...this.upstreams.values()]);
    }
    if (isFirst) this.kick();
  }

  /** Frees the slot of a run that has ended and learns from it. */
  release(report: ReleaseReport): void {
    const run = this.runs.get(report.requestId);
    if (!run) return;
    const upstream = this.upstreams.get(run.upstreamId);
    if (report.kind === RELEASE_KIND.COMPLETED) {
      upstream?.recordCompletion(run, report);
      const {accountId, maxTokens} = run.request;
      this.lengths.recordLength(accountId, maxTokens, report.outputTokens);
      updateStragglers([...this.upstreams.values()]);
    } else {
      this.options.joinableRuns.removeRun(run);
    }
    if (report.kind === RELEASE_KIND.UPSTREAM_DIED) {
      this.options.poison.recordDeath(run.request.fingerprint, run.upstreamId);
      if (upstream) upstream.isDown = true;
    }
    this.endRun(run);
  }

  /**
   * Takes over what a member runs, after a change of the dispatcher. Runs of
   * the member that are not among them have ended meanwhile.
   */
  register(memberId: string, running: readonly RunningRequest[]): void {
    const ids = new Set(running.map(entry => entry.request.requestId));
    this.endRunsOf(memberId, run => !ids.has(run.request.requestId));
    for (const entry of running) this.adopt(entry);
    this.unregistered.delete(memberId);
    if (this.unregistered.size === 0) this.open();
  }

  /** Runs that are older than an age in milliseconds, by their entry. */
  runsOlderThan(ageMs: number): Map<string, string[]> {
    const startedBeforeMs = this.options.clock.monotonicMs() - ageMs;
    return groupRunIdsByEntry(this.runs.values(), startedBeforeMs);
  }

  /** Ends the runs of a member that it has told to have ended. */
  endRuns(memberId: string, requestIds: ReadonlySet<string>): void {
    this.endRunsOf(memberId, run => requestIds.has(run.request.requestId));
  }

  /** Notes that the entries have told which runs go on. */
  handleRunsVerified(): void {
    this.shedder.markRunsVerified();
  }

  /** Drops what a lost entry waits for; its runs are kept for a while. */
  handleEntryLoss(memberId: string): void {
    for (const waiting of [...this.waiting.all()]) {
      if (waiting.request.entryId !== memberId) continue;
      this.waiting.remove(waiting.request.requestId);
      waiting.answer({kind: GRANT_KIND.MOVED});
    }
    const now = this.options.clock.monotonicMs();
    for (const run of this.runs.values()) {
      if (run.request.entryId === memberId) run.orphanedAtMs ??= now;
    }
    this.unregistered.delete(memberId);
    if (this.unregistered.size === 0) this.open();
  }

  /** Replaces the list of upstreams. */
  setUpstreams(specs: readonly UpstreamSpec[]): void {
    const ids = new Set(specs.map(spec => spec.id));
    for (const id of this.upstreams.keys()) {
      if (!ids.has(id)) this.upstreams.delete(id);
    }
    for (const spec of specs) {
      const known = this.upstreams.get(spec.id);
      if (known) known.updateSpec(spec);
      else this.upstreams.set(spec.id, new UpstreamState(spec));
    }
    this.kick();
  }

  /** Takes a load report over; null stands for a poll that failed. */
  applyLoad(upstreamId: string, load: LoadReport | null): void {
    const upstream = this.upstreams.get(upstreamId);
    if (!upstream) return;
    if (load) {
      upstream.applyLoad(load);
    } else {
      upstream.failedPolls++;
      if (upstream.failedPolls >= MAX_FAILED_POLLS) upstream.isDown = true;
    }
    this.kick();
  }

  /** Refuses what can't be in time and preempts for what is urgent. */
  checkDeadlines(): void {
    this.lastTickMs = this.options.clock.monotonicMs();
    if (!this.options.policy.honoursTiers) return;
    this.shedder.refuseAndPreempt(this.lastTickMs);
  }

  /** Hands the cell over: waiting requests go to the next dispatcher. */
  close(): void {
    clearInterval(this.timer);
    clearTimeout(this.settleTimer);
    this.queue.pause();
    for (const waiting of [...this.waiting.all()]) {
      this.waiting.remove(waiting.request.requestId);
      waiting.answer({kind: GRANT_KIND.MOVED});
    }
    for (const run of this.runs.values()) run.release();
  }

  /** Describes the cell for operators. */
  status(tierCount: number): CellStatus {
    const {service} = this.options;
    const states = this.upstreams.values();
    return describeCell(service, tierCount, this.waiting, states);
  }

  private open(): void {
    clearTimeout(this.settleTimer);
    this.unregistered.clear();
    this.queue.start();
  }

  /** Lets p-queue look at the queue again. */
  private kick(): void {
    this.queue.concurrency = Infinity;
  }

  private search(queue: TierQueue): ReturnType<typeof findPlacement> {
    return findPlacement(queue, [...this.upstreams.values()], {
      nowMs: this.options.clock.monotonicMs(),
      policy: this.options.policy,
      random: this.options.random,
      hasRecordedDeath: request =>
        this.options.poison.deathCount(request.fingerprint) > 0,
    });
  }

  private join(request: GrantRequest, run: RunningRequest): GrantAnswer {
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
    const {clock} = this.options;
    const now = clock.monotonicMs();
    const {accountId, maxTokens, promptTokens} = request;
    const expectedTokens = this.lengths.expectedTokens(accountId, maxTokens);
    const waiting: WaitingRequest = {
      request,
      arrivedAtMs: now - request.waitedMs,
      deadlineAtMs: now + request.remainingMs,
      expectedTokens,
      startTag: this.waiting.tagFor(request, promptTokens + expectedTokens),
      isExpectedLate: false,
      victimId: null,
      answer,
    };
    void this.queue.add(() => this.run(), {waiting});
    if (this.waiting.find(request.requestId))
      this.shedder.preemptIfUrgent(waiting, now);
  }

  /** Task of a granted request; it lasts until the slot is free again. */
  private async run(): Promise<void> {
    const {waiting, upstream} = this.waiting.takePlacement();
    const {request} = waiting;
    // The same key may have been granted while this request waited.
    const joined = this.options.joinableRuns.find(request.joinKey);
    if (joined) {
      waiting.answer(this.join(request, joined));
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

  /** Counts a run that an earlier dispatcher granted. */
  private adopt(entry: RunningRequest): void {
    const known = this.runs.get(entry.request.requestId);
    if (known) {
      known.orphanedAtMs = null;
      return;
    }
    const {accountId, maxTokens} = entry.request;
    this.track({
      request: entry.request,
      upstreamId: entry.upstreamId,
      startedAtMs: this.options.clock.monotonicMs(),
      expectedTokens: this.lengths.expectedTokens(accountId, maxTokens),
      uncachedTokens: 0,
      hasFirstToken: true,
      preemptedAtMs: null,
      orphanedAtMs: null,
      release: () => this.kick(),
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
    this.kick();
    // The slot may have gone to another urgent request than the one it was for.
    if (run.preemptedAtMs !== null) this.shedder.preemptForUrgentRequests();
  }

  /** Whether the process was stopped, so that what it counts is old. */
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
    this.kick();
  }

  private dropOrphans(now: number): void {
    for (const run of [...this.runs.values()]) {
      if (run.orphanedAtMs === null) continue;
      if (now - run.orphanedAtMs < ORPHAN_TTL_MS) continue;
      this.options.cancelOrphan(run);
      this.endRun(run);
    }
  }
}
