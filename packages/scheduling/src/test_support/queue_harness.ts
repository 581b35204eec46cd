import type {QueueMembers} from '../brittle_guard.js';
import {BrittleGuard} from '../brittle_guard.js';
import {RUN_END} from '../constants.js';
import {DispatchQueue} from '../dispatch_queue.js';
import {RetryBudget} from '../retry_budget.js';
import type {
  GrantRequest,
  Placement,
  QueueAnswer,
  QueueRefusal,
  ReportedLoad,
  RunEnd,
  UpstreamSpec,
} from '../types.js';
import {OPEN_GATE} from '../rollout/index.js';
import {NO_LIMITS, UpstreamLimits} from '../upstream_limits.js';
import {UpstreamPauses} from '../upstream_pauses.js';
import {UpstreamRateLimiter} from '../upstream_rate_limiter.js';

/** Entry of all requests. */
export const ENTRY = 'entry-1';

const ONE_MEMBER: QueueMembers = {
  localId: ENTRY,
  isSuspected: () => false,
  hasSuspects: () => false,
  reachedPart: () => 1,
  memberCount: () => 1,
  rankedFor: () => [ENTRY],
};

/** An upstream with defaults for all but the given fields. */
export function upstream(
  id: string,
  slots = 1,
  changes: Partial<UpstreamSpec> = {},
): UpstreamSpec {
  return {
    instanceId: id,
    address: '10.0.0.1:80',
    zone: 'a',
    slots,
    isLeaving: false,
    startedAtUnixMs: 1,
    softwareVersion: null,
    ...changes,
  };
}

/** A grant request with defaults for all but the given fields. */
export function grantRequest(
  id: string,
  changes: Partial<GrantRequest> = {},
): GrantRequest {
  return {
    requestId: id,
    entryId: ENTRY,
    zone: 'a',
    tier: 1,
    fingerprint: id,
    promptTokens: 0,
    objectiveLeftMs: 1_000,
    patienceLeftMs: 4_000,
    timeLeftMs: null,
    isRepeatable: true,
    isRetry: false,
    isAskedAgain: false,
    lendsRetries: false,
    excluded: [],
    avoidedZones: [],
    requiredVersion: null,
    route: null,
    account: null,
    accountQuotaPerS: null,
    outputTokens: null,
    maxEventGapMs: null,
    promptParts: [],
    ...changes,
  };
}

/** The load of an idle upstream with the given changes. */
export function reportedLoad(changes: Partial<ReportedLoad>): ReportedLoad {
  return {running: 0, waiting: 0, slots: null, slowdown: null, ...changes};
}

/** A queue with a manual clock that records the answers and their order. */
export class QueueHarness {
  /** Time of the queue's clock in milliseconds. */
  nowMs = 0;
  /** Answers by request id. */
  readonly answers = new Map<string, QueueAnswer>();
  /** Ids of the placed requests in their order. */
  readonly order: string[] = [];
  /** Rate limits of the upstreams. */
  readonly limits = new UpstreamLimits();
  /** Pauses that the upstreams asked for. */
  readonly pauses = new UpstreamPauses();
  /** The queue under test. */
  readonly queue: DispatchQueue;

  constructor(
    specs: UpstreamSpec[],
    extraRetries = 100,
    versionGate = OPEN_GATE,
  ) {
    const budget = {ratio: 0, extra: extraRetries, windowMs: 10_000};
    const rateLimiter = new UpstreamRateLimiter(this.limits, this.pauses);
    const brittleGuard = new BrittleGuard(rateLimiter, ONE_MEMBER);
    brittleGuard.recordOpened(this.nowMs);
    this.queue = new DispatchQueue({
      nowMs: () => this.nowMs,
      retryBudget: new RetryBudget(budget),
      rateLimiter,
      brittleGuard,
      versionGate: () => versionGate,
    });
    this.queue.setUpstreams(specs);
  }

  /** Queues a request and records its answer. */
  submit(request: GrantRequest): void {
    this.queue.submit(request, answer => {
      this.answers.set(request.requestId, answer);
      if (answer.kind === 'placed') this.order.push(request.requestId);
    });
  }

  /** Reports that a response began some milliseconds after its send. */
  start(requestId: string, startMs = 1): void {
    this.queue.handleStartReport({requestId, startMs, load: null});
  }

  /** Reports the end of a run. */
  end(requestId: string, end: RunEnd = RUN_END.COMPLETED, runMs = 100): void {
    const report = {requestId, end, runMs, eventGapMs: null, load: null};
    this.queue.handleEndReport(report);
  }

  /** Lets time pass, with one tick at its end. */
  advance(ms: number): void {
    this.nowMs += ms;
    this.queue.tick();
  }

  /** Placement of a request; null before it or if it was refused. */
  placementOf(id: string): Placement | null {
    const answer = this.answers.get(id);
    return answer?.kind === 'placed' ? answer.placement : null;
  }

  /** Id of the upstream of a placed request, otherwise null. */
  placeOf(id: string): string | null {
    return this.placementOf(id)?.upstream.instanceId ?? null;
  }

  /** Reason for which a request was refused, otherwise null. */
  refusalOf(id: string): QueueRefusal | null {
    const answer = this.answers.get(id);
    return answer?.kind === 'refused' ? answer.reason : null;
  }

  /** Lets an upstream name a limit in requests per second, or none with null. */
  limit(instanceId: string, perSecond: number | null): void {
    const statedAtMs = this.nowMs;
    this.limits.record('gateway', {
      ...upstream(instanceId),
      ...NO_LIMITS,
      perSecond,
      statedAtMs,
    });
  }

  /** Lets an upstream ask an entry for a pause of some milliseconds. */
  pause(instanceId: string, pauseMs: number, entryId = ENTRY): void {
    const pause = {...upstream(instanceId), untilMs: this.nowMs + pauseMs};
    this.pauses.record(entryId, pause, this.nowMs);
  }

  /** Lets an upstream say how many rejections a second it bears. */
  limitRejections(instanceId: string, maxRejectionsPerS: number): void {
    const statedAtMs = this.nowMs;
    this.limits.record('gateway', {
      ...upstream(instanceId),
      ...NO_LIMITS,
      maxRejectionsPerS,
      statedAtMs,
    });
  }
}
