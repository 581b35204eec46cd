import type {Clock, Logger} from '@fescuespool/common';
import type {
  EndReport,
  QueueAnswer,
  RetryBudgetBounds,
  StartReport,
  UpstreamSpec,
  WorkItem,
} from '@fescuespool/scheduling';
import {DispatchQueue, RetryBudget} from '@fescuespool/scheduling';
import {MAX_QUEUE_TICK_GAP_MS, QUEUE_TICK_MS} from './constants.js';

/** Upstreams of each service. */
export type UpstreamsByService = ReadonlyMap<string, readonly UpstreamSpec[]>;

/**
 * The queues that this member holds. Their state is soft: entries report what
 * runs, and ask another member when this one hands a queue over.
 */
export class Dispatcher {
  private readonly queues = new Map<string, DispatchQueue>();
  private upstreams: UpstreamsByService = new Map();
  private readonly timer: NodeJS.Timeout;
  private lastTickMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private budget: RetryBudgetBounds,
    /** Whether this member should hold the queue of a service. */
    private readonly isOwner: (service: string) => boolean,
  ) {
    this.lastTickMs = clock.monotonicMs();
    this.timer = setInterval(() => this.tick(), QUEUE_TICK_MS);
  }

  /** Waits for an upstream; answers `moved` where another member must be asked. */
  requestGrant(service: string, item: WorkItem): Promise<QueueAnswer> {
    this.rebuildIfStale();
    return new Promise(resolve => this.queueOf(service).submit(item, resolve));
  }

  /** Gives up a waiting request. */
  cancel(service: string, requestId: string): void {
    this.queues.get(service)?.cancel(requestId);
  }

  /** Records the first byte of an answer. */
  recordStart(service: string, report: StartReport): void {
    this.queues.get(service)?.handleStartReport(report);
  }

  /** Frees the slot of a run. */
  recordEnd(service: string, report: EndReport): void {
    this.queues.get(service)?.handleEndReport(report);
  }

  /** Takes over what an entry says that it runs. */
  reconcile(
    service: string,
    entryId: string,
    runs: readonly {requestId: string; instanceId: string}[],
  ): void {
    this.queueOf(service).reconcile(entryId, runs);
  }

  /** Notes that a member does not answer. */
  handleMemberLost(memberId: string): void {
    for (const queue of this.queues.values())
      queue.markEntryUnresponsive(memberId);
  }

  /** Replaces the upstreams of all services. */
  setUpstreams(upstreams: UpstreamsByService): void {
    this.upstreams = upstreams;
    for (const [service, queue] of this.queues) {
      queue.setUpstreams(upstreams.get(service) ?? []);
    }
  }

  /** Uses other bounds of the retries from now on. */
  setRetryBudget(budget: RetryBudgetBounds): void {
    this.budget = budget;
    for (const {retries} of this.queues.values()) retries.setBounds(budget);
  }

  /** Closes the queues that another member holds now. */
  handOverQueues(): void {
    for (const [service, queue] of this.queues) {
      if (this.isOwner(service)) continue;
      this.queues.delete(service);
      const waiting = queue.waitingCount;
      queue.close();
      this.log.info('queue_handed_over', {service, waiting});
    }
  }

  /** Figures of each queue, for metrics. */
  queueStats(): {service: string; waiting: number; running: number}[] {
    return [...this.queues].map(([service, queue]) => ({
      service,
      waiting: queue.waitingCount,
      running: queue.runningCount,
    }));
  }

  /** Stops all queues. */
  close(): void {
    clearInterval(this.timer);
    for (const queue of this.queues.values()) queue.close();
    this.queues.clear();
  }

  private queueOf(service: string): DispatchQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new DispatchQueue({
      nowMs: this.clock.monotonicMs,
      retries: new RetryBudget(this.budget),
    });
    queue.setUpstreams(this.upstreams.get(service) ?? []);
    this.queues.set(service, queue);
    this.log.info('queue_opened', {service});
    return queue;
  }

  private tick(): void {
    this.rebuildIfStale();
    for (const queue of this.queues.values()) queue.tick();
  }

  /** After a stop of the process the entries have moved on. */
  private rebuildIfStale(): void {
    const now = this.clock.monotonicMs();
    const gapMs = now - this.lastTickMs;
    this.lastTickMs = now;
    if (gapMs < MAX_QUEUE_TICK_GAP_MS) return;
    this.log.warn('queues_rebuilt', {gapMs: Math.round(gapMs)});
    for (const queue of this.queues.values()) queue.close();
    this.queues.clear();
  }
}
