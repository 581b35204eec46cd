import type {CellOptions} from './cell_options.js';
import {
  GRANT_KIND,
  PREEMPTION_TIMEOUT_MS,
  REFUSAL_REASON,
  VERIFICATION_TTL_MS,
} from './constants.js';
import {isUrgent} from './placement_search.js';
import {findVictim, lowestTierRun} from './preemption.js';
import {
  clampRetryAfterMs,
  estimateWaitMs,
  hasLowerTierWork,
  isDeadlineUnreachable,
} from './refusal_criteria.js';
import type {TierQueue, WaitingRequest} from './tier_queue.js';
import type {GrantAnswer, GrantRequest, RefusalReason} from './types.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

/** Refuses requests and preempts runs of a cell, the lowest tier first. */
export class LoadShedder {
  private verifiedAtMs = -Infinity;

  constructor(
    private readonly options: CellOptions,
    private readonly queue: TierQueue,
    private readonly runs: ReadonlyMap<string, ActiveRun>,
    private readonly upstreams: ReadonlyMap<string, UpstreamState>,
  ) {}

  /** Returns a refusal of an arriving request, or null to let it wait. */
  admit(request: GrantRequest): GrantAnswer | null {
    if (this.isCrashSuspected(request)) {
      return this.refusal(request, REFUSAL_REASON.POISON_SUSPECTED, null);
    }
    if (!this.options.policy.honoursTiers) return null;
    const isFull = this.queue.waitingCount >= this.options.maxWaiting;
    if (isFull && !this.shedLowerTier(request.tier)) {
      return this.createLoadRefusal(request, REFUSAL_REASON.QUEUE_FULL);
    }
    const states = this.upstreamStates();
    if (hasLowerTierWork(request.tier, this.queue, this.runs.values()))
      return null;
    const waitMs = estimateWaitMs(request, states, this.queue);
    if (waitMs <= request.remainingMs) return null;
    return this.createLoadRefusal(request, REFUSAL_REASON.DEADLINE_UNREACHABLE);
  }

  /**
   * Sheds one request below `tier`: the waiting or running one of the lowest
   * tier, at equal tiers the waiting one. A preempted run frees a slot, and
   * thereby a place in the queue. Returns whether there was one to shed.
   */
  private shedLowerTier(tier: number): boolean {
    const waiting = this.queue.lastBelowTier(tier);
    const waitingTier = waiting?.request.tier ?? tier;
    const run = lowestTierRun(this.runs.values(), waitingTier);
    if (run) this.preempt(run);
    else if (waiting) this.refuse(waiting, REFUSAL_REASON.QUEUE_FULL);
    return run !== null || waiting !== null;
  }

  private preempt(run: ActiveRun): void {
    run.preemptedAtMs = this.options.clock.monotonicMs();
    this.options.countEvent('preempted', run.request);
    this.options.preempt(run);
  }

  private createLoadRefusal(
    request: GrantRequest,
    reason: RefusalReason,
  ): GrantAnswer {
    const states = this.upstreamStates();
    const waitMs = estimateWaitMs(request, states, this.queue);
    return this.refusal(request, reason, clampRetryAfterMs(waitMs));
  }

  /** Creates a refusal and counts it; `afterMs` is the Retry-After in ms. */
  refusal(
    request: GrantRequest,
    reason: RefusalReason,
    afterMs: number | null,
  ): GrantAnswer {
    this.options.countEvent(reason, request);
    return {kind: GRANT_KIND.REFUSED, reason, retryAfterMs: afterMs};
  }

  /** Removes a waiting request from the queue and refuses it. */
  refuse(waiting: WaitingRequest, reason: RefusalReason): void {
    this.queue.remove(waiting.request.requestId);
    waiting.answer(this.createLoadRefusal(waiting.request, reason));
  }

  /** Refuses the waiting requests that are now known to crash upstreams. */
  refuseCrashSuspects(): void {
    for (const waiting of [...this.queue.all()]) {
      const {request, answer} = waiting;
      if (!this.isCrashSuspected(request)) continue;
      this.queue.remove(request.requestId);
      answer(this.refusal(request, REFUSAL_REASON.POISON_SUSPECTED, null));
    }
  }

  private isCrashSuspected({fingerprint, prefixHashes}: GrantRequest): boolean {
    const evidence = {fingerprint, parts: prefixHashes};
    return this.options.crashes.isSuspected(evidence);
  }

  /** Refuses requests that miss their deadlines, preempts for urgent ones. */
  refuseAndPreempt(nowMs: number): void {
    for (const waiting of this.queue.expired(nowMs)) {
      this.refuse(waiting, REFUSAL_REASON.DEADLINE_EXPIRED);
    }
    this.refuseUnreachable(nowMs);
    this.preemptForUrgentRequests();
  }

  /** Refuses unreachable deadlines in the lowest tier that waits or runs. */
  private refuseUnreachable(nowMs: number): void {
    const states = this.upstreamStates();
    for (const window of this.queue.windows()) {
      const tier = window[0]?.request.tier ?? 0;
      if (hasLowerTierWork(tier, this.queue, this.runs.values())) continue;
      for (const waiting of window) {
        if (!isDeadlineUnreachable(waiting, states, nowMs)) continue;
        this.refuse(waiting, REFUSAL_REASON.DEADLINE_UNREACHABLE);
      }
    }
  }

  /** Preempts lower-tier runs for the urgent requests in each tier's window. */
  preemptForUrgentRequests(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const window of this.queue.windows()) {
      const tier = window[0]?.request.tier ?? 0;
      if (!lowestTierRun(this.runs.values(), tier)) continue;
      for (const waiting of window) this.preemptIfUrgent(waiting, nowMs);
    }
  }

  /** Records that the tracked runs were confirmed as active just now. */
  markRunsVerified(): void {
    this.verifiedAtMs = this.options.clock.monotonicMs();
    this.preemptForUrgentRequests();
  }

  /** Preempts a lower-tier run for an urgent request; verifies runs first. */
  preemptIfUrgent(waiting: WaitingRequest, nowMs: number): void {
    if (!this.options.policy.honoursTiers) return;
    const states = this.upstreamStates();
    if (
      waiting.victimId !== null &&
      this.isBeingPreempted(waiting.victimId, nowMs)
    ) {
      return;
    }
    if (!isUrgent(waiting, states, nowMs)) return;
    const victim = findVictim(waiting, states, nowMs);
    if (!victim) return;
    if (nowMs - this.verifiedAtMs > VERIFICATION_TTL_MS) {
      this.options.requestVerification();
      return;
    }
    waiting.victimId = victim.request.requestId;
    this.preempt(victim);
  }

  private isBeingPreempted(requestId: string, nowMs: number): boolean {
    const preemptedAt = this.runs.get(requestId)?.preemptedAtMs;
    return preemptedAt != null && nowMs - preemptedAt < PREEMPTION_TIMEOUT_MS;
  }

  private upstreamStates(): UpstreamState[] {
    return [...this.upstreams.values()];
  }
}
