import type {Clock, Logger} from '@fescuespool/common';
import {OnDemandInterval} from '@fescuespool/common';
import type {
  EndReport,
  GrantRequest,
  QueueAnswer,
  QueueMembers,
  QueuePreview,
  QueueStats,
  RetryBudgetBounds,
  StartReport,
  UpstreamLimits,
  UpstreamSpec,
  VersionGate,
} from '@fescuespool/scheduling';
import {
  BrittleGuard,
  DispatchQueue,
  OPEN_GATE,
  queueStats,
  RetryBudget,
  UpstreamPauses,
  UpstreamRateLimiter,
} from '@fescuespool/scheduling';
import {
  MAX_KEPT_BUDGET_GAP_MS,
  MAX_QUEUE_TICK_GAP_MS,
  QUEUE_TICK_INTERVAL_MS,
} from './constants.js';
import type {RunReport} from './messages.js';

/** Registered upstreams, keyed by service name. */
export type UpstreamsByService = ReadonlyMap<string, readonly UpstreamSpec[]>;

/** What is kept of a service while its queue is closed and opened again. */
interface ServiceMemory {
  readonly brittleGuard: BrittleGuard;
  readonly retryBudget: RetryBudget;
}

/**
 * Manages the dispatch queues that this member owns. Queue state is not
 * persisted: entries report their running requests periodically, and repeat
 * waiting requests at the new owner when a queue moves.
 */
export class Dispatcher {
  /** What upstreams asked of this member and of those that report to it. */
  readonly pauses = new UpstreamPauses();
  /** Counts the grants to limited upstreams. */
  readonly rateLimiter: UpstreamRateLimiter;
  private readonly queues = new Map<string, DispatchQueue>();
  /** By service. */
  private readonly memories = new Map<string, ServiceMemory>();
  private upstreams: UpstreamsByService = new Map();
  private readonly ticks = new OnDemandInterval(QUEUE_TICK_INTERVAL_MS, () => {
    this.tick();
    return this.queues.size > 0;
  });
  private lastTickMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private retryBudgetBounds: RetryBudgetBounds,
    /** What upstreams told this member and those that report to it. */
    private readonly upstreamLimits: UpstreamLimits,
    /** Whether this member owns the queue of a service. */
    private readonly isOwner: (service: string) => boolean,
    private readonly members: QueueMembers,
    /** Decides which versions of a service may get requests. */
    private readonly versionGateOf: (service: string) => VersionGate = () =>
      OPEN_GATE,
  ) {
    this.rateLimiter = new UpstreamRateLimiter(upstreamLimits, this.pauses);
  }

  /**
   * Queues a request and resolves with its placement or refusal, or with
   * `moved` if the queue is closed first and the request must go to the new
   * owner.
   */
  requestGrant(service: string, request: GrantRequest): Promise<QueueAnswer> {
    this.rebuildAfterStall();
    return new Promise(resolve =>
      this.queueFor(service).submit(request, resolve),
    );
  }

  /** Where a request would go now; opens no queue and changes none. */
  preview(service: string, request: GrantRequest): QueuePreview {
    const queue = this.queues.get(service) ?? this.createQueue(service);
    return queue.preview(request);
  }

  /** Removes a waiting request from its queue without answering it. */
  cancel(service: string, requestId: string): void {
    this.queues.get(service)?.cancel(requestId);
  }

  /** Records the first response byte of a granted request. */
  recordStart(service: string, report: StartReport): void {
    this.queues.get(service)?.handleStartReport(report);
  }

  /** Records the end of a granted request and frees its upstream slot. */
  recordEnd(service: string, report: EndReport): void {
    const ended = this.queues.get(service)?.handleEndReport(report);
    if (ended?.brittleRejection) {
      this.log.info('brittle_upstream_rejected', {
        upstream: ended.instanceId,
        reportedBy: ended.entryId,
        id: report.requestId,
        suspects: this.members.hasSuspects(),
        ...ended.brittleRejection,
      });
    }
    if (!ended?.hasStartedBackoff) return;
    this.log.info('upstream_backed_off', {
      upstream: ended.instanceId,
      end: report.end,
      reportedBy: ended.entryId,
      id: report.requestId,
    });
  }

  /**
   * Aligns the queue with the requests that an entry reports as running: adds
   * the missing ones and drops those that the entry no longer reports. Records
   * the rate limits that upstreams told the entry, and their pauses.
   */
  reconcile({service, entryId, runs, limits, pauses}: RunReport): void {
    const now = this.clock.monotonicMs();
    for (const {ageMs, ...statement} of limits) {
      const statedAtMs = now - ageMs;
      this.upstreamLimits.record(entryId, {...statement, statedAtMs});
    }
    for (const {leftMs, ...life} of pauses) {
      this.pauses.record(entryId, {...life, untilMs: now + leftMs}, now);
    }
    this.rebuildAfterStall();
    this.queueFor(service).reconcile(entryId, runs);
  }

  /** Marks a suspected member in all queues; its runs may end unreported. */
  handleMemberSuspected(memberId: string): void {
    for (const queue of this.queues.values())
      queue.markEntrySuspected(memberId);
  }

  /** Replaces the upstreams of all queues, also future ones. */
  setUpstreams(upstreams: UpstreamsByService): void {
    const now = this.clock.monotonicMs();
    for (const [service, specs] of this.upstreams) {
      this.memoryOf(service).brittleGuard.recordLimits(specs, now);
    }
    this.upstreams = upstreams;
    this.rateLimiter.retain([...upstreams.values()].flat());
    for (const service of this.memories.keys()) {
      const isUsed = upstreams.has(service) || this.queues.has(service);
      if (!isUsed) this.memories.delete(service);
    }
    for (const [service, queue] of this.queues) {
      queue.setUpstreams(upstreams.get(service) ?? []);
    }
  }

  /** Replaces the bounds of the retry budgets of all queues, also future ones. */
  setRetryBudget(bounds: RetryBudgetBounds): void {
    this.retryBudgetBounds = bounds;
    for (const {retryBudget} of this.memories.values())
      retryBudget.setBounds(bounds);
  }

  /**
   * Closes the queues that this member no longer owns. Their waiting requests
   * are answered with `moved`.
   */
  handOverQueues(): void {
    const now = this.clock.monotonicMs();
    for (const {retryBudget} of this.memories.values()) {
      retryBudget.recordRanks(now);
    }
    for (const [service, queue] of this.queues) {
      if (this.isOwner(service)) continue;
      this.queues.delete(service);
      const waiting = queue.waitingCount;
      queue.close();
      this.log.info('queue_handed_over', {service, waiting});
    }
  }

  /** Present figures of each queue, for metrics. */
  queueStats(): (QueueStats & {service: string})[] {
    return [...this.queues].map(([service, queue]) => ({
      service,
      ...queueStats(queue),
    }));
  }

  /** Stops the timer and closes all queues. */
  close(): void {
    this.ticks.close();
    for (const queue of this.queues.values()) queue.close();
    this.queues.clear();
  }

  private queueFor(service: string): DispatchQueue {
    const existing = this.queues.get(service);
    if (existing) return existing;
    const queue = this.createQueue(service);
    this.queues.set(service, queue);
    const now = this.clock.monotonicMs();
    const {brittleGuard, retryBudget} = this.memoryOf(service);
    brittleGuard.recordOpened(now);
    retryBudget.open(now);
    if (this.ticks.start()) this.lastTickMs = now;
    this.log.info('queue_opened', {
      service,
      retriesLeft: roundRetries(retryBudget.counts.retriesLeft),
      isOwner: this.isOwner(service),
      rank: this.rankFor(service),
      reachedPart: this.members.reachedPart(),
    });
    return queue;
  }

  private createQueue(service: string): DispatchQueue {
    const queue = new DispatchQueue({
      nowMs: this.clock.monotonicMs,
      rateLimiter: this.rateLimiter,
      ...this.memoryOf(service),
      onRetryDecision: (request, isGranted) =>
        this.logRetry(service, request, isGranted),
      versionGate: () => this.versionGateOf(service),
    });
    queue.setUpstreams(this.upstreams.get(service) ?? []);
    return queue;
  }

  private logRetry(
    service: string,
    {requestId: id, entryId: entry}: GrantRequest,
    isGranted: boolean,
  ): void {
    const {retriesLeft} = this.memoryOf(service).retryBudget.counts;
    const event = isGranted ? 'retry_granted' : 'retry_refused';
    const left = roundRetries(retriesLeft);
    this.log.info(event, {id, service, entry, retriesLeft: left});
  }

  /** Rank of this member for a service's queue; -1 while it leaves. */
  private rankFor(service: string): number {
    return this.members.rankedFor(service).indexOf(this.members.localId);
  }

  private memoryOf(service: string): ServiceMemory {
    const existing = this.memories.get(service);
    if (existing) return existing;
    const {members, rateLimiter} = this;
    const memory: ServiceMemory = {
      brittleGuard: new BrittleGuard(rateLimiter, members),
      retryBudget: new RetryBudget(this.retryBudgetBounds, {
        reachedPart: members.reachedPart,
        memberCount: members.memberCount,
        rank: () => this.rankFor(service),
      }),
    };
    this.memories.set(service, memory);
    return memory;
  }

  private tick(): void {
    this.rebuildAfterStall();
    for (const queue of this.queues.values()) queue.tick();
  }

  /**
   * Discards all queues if the process was suspended for longer than
   * MAX_QUEUE_TICK_GAP_MS: the entries have moved to another member meanwhile.
   */
  private rebuildAfterStall(): void {
    const now = this.clock.monotonicMs();
    const gapMs = now - this.lastTickMs;
    this.lastTickMs = now;
    if (gapMs >= MAX_KEPT_BUDGET_GAP_MS) {
      for (const {retryBudget} of this.memories.values())
        retryBudget.reset(now);
    }
    if (gapMs < MAX_QUEUE_TICK_GAP_MS || this.queues.size === 0) return;
    this.log.warn('queues_rebuilt', {gapMs: Math.round(gapMs)});
    for (const queue of this.queues.values()) queue.close();
    this.queues.clear();
  }
}

/** Retries with one decimal, for the log. */
function roundRetries(count: number): number {
  return Math.round(10 * count) / 10;
}
