import {sha256Hex} from '@fescuespool/common';
import type {
  GrantRequest,
  Outcome,
  RefusalReason,
  ReleaseKind,
  ReleaseReport,
} from '@fescuespool/coordination';
import {
  GRANT_KIND,
  OUTCOME,
  REFUSAL_REASON,
  RELEASE_KIND,
} from '@fescuespool/coordination';
import {RefusalError} from '@fescuespool/protocol';
import {
  MAX_DISPATCH_ATTEMPTS,
  REQUEST_PHASE,
  RETRY_AFTER_MS,
} from './constants.js';
import type {GrantClient} from './grant_client.js';
import type {RequestScope} from './request_scope.js';
import type {RetryBudget} from './retry_budget.js';
import type {TraceLog} from './trace_log.js';
import type {DaemonContext} from './types.js';

/**
 * Size estimates and content of a request, from which its grant request is
 * built.
 */
export interface Workload {
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  readonly content: string | Buffer;
  /** Whether a retry with the same key joins the stream that already runs. */
  readonly isJoinable: boolean;
}

/**
 * Permission to run a request at an upstream once, or to join a running one.
 */
export interface UpstreamGrant {
  readonly upstreamId: string;
  readonly url: string;
  /** Identifier at the upstream: that of the joined request if `isJoined`. */
  readonly upstreamRequestId: string;
  readonly isJoined: boolean;
}

/** Outcome and timings of one attempt at an upstream. */
export interface RunResult {
  readonly kind: ReleaseKind;
  /**
   * Time in milliseconds to the first token, or to the end of an application
   * call; null if there was neither.
   */
  readonly firstTokenMs: number | null;
  /** Time in milliseconds from first to last token; null without tokens. */
  readonly decodeMs: number | null;
  readonly outputTokens: number;
  /** Prompt tokens not served from the prefix cache; null if not reported. */
  readonly computedPromptTokens: number | null;
  /** Refusal to send to the caller if the attempt did not complete. */
  readonly refusal: RefusalError | null;
}

/** Result of an attempt that the upstream provably did not accept. */
export const NOT_ACCEPTED_RESULT: RunResult = {
  kind: RELEASE_KIND.NOT_ACCEPTED,
  firstTokenMs: null,
  decodeMs: null,
  outputTokens: 0,
  computedPromptTokens: null,
  refusal: null,
};

/** Components of the entry that requests are dispatched with. */
export interface DispatchDependencies {
  readonly context: DaemonContext;
  readonly grantClient: GrantClient;
  readonly retryBudget: RetryBudget;
  readonly traces: TraceLog;
}

/** Makes one attempt to run a request at an upstream; never throws. */
export type RunAtUpstream = (grant: UpstreamGrant) => Promise<RunResult>;

/**
 * Creates the refusal of an aborted request: the reason that this entry ended
 * it for, or CALLER_GONE if the caller disconnected.
 */
export function abortRefusal(
  scope: RequestScope,
  outcome: Outcome,
): RefusalError {
  const reason = scope.openRequest.abortReason ?? REFUSAL_REASON.CALLER_GONE;
  return new RefusalError(reason, outcome, refusalDetail(reason), {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function refusalDetail(reason: RefusalReason): string {
  return `the request was refused: ${reason.replaceAll('_', ' ')}`;
}

function createGrantRequest(
  dependencies: DispatchDependencies,
  scope: RequestScope,
  workload: Workload,
  excluded: readonly string[],
  waitedMs: number,
): GrantRequest {
  const {accountId, account, tier} = scope.caller;
  const {clock, settings} = dependencies.context;
  const contentHash = sha256Hex(workload.content);
  const key = scope.idempotencyKey;
  const isJoinable = workload.isJoinable && key !== null;
  return {
    requestId: scope.requestId,
    entryId: settings.memberId,
    service: scope.serviceName,
    tier,
    accountId,
    weight: account.weight,
    promptTokens: workload.promptTokens,
    maxTokens: workload.maxTokens,
    prefixHashes: workload.prefixHashes,
    remainingMs: scope.deadlineAtMs - clock.monotonicMs(),
    waitedMs,
    fingerprint: sha256Hex(`${accountId}\n${contentHash}`).slice(0, 32),
    joinKey: isJoinable
      ? sha256Hex(`${accountId}\n${key}\n${contentHash}`).slice(0, 32)
      : null,
    preemptible: scope.openRequest.preemptible,
    excluded,
  };
}

/**
 * Waits for a grant and runs the request at the granted upstream once. Retries
 * at another upstream only if the first one provably did not accept the
 * request. Returns once the response is complete; throws a `RefusalError`
 * otherwise.
 */
export async function dispatch(
  dependencies: DispatchDependencies,
  scope: RequestScope,
  workload: Workload,
  run: RunAtUpstream,
): Promise<void> {
  dependencies.retryBudget.recordRequest();
  const excluded: string[] = [];
  let waitedMs = 0;
  for (let attempt = 1; attempt <= MAX_DISPATCH_ATTEMPTS; attempt++) {
    const request = createGrantRequest(
      dependencies,
      scope,
      workload,
      excluded,
      waitedMs,
    );
    const {signal} = scope.openRequest.controller;
    scope.openRequest.phase = REQUEST_PHASE.WAITING;
    const grantWait = await dependencies.grantClient.acquire(request, signal);
    waitedMs += grantWait.waitedMs;
    const {answer} = grantWait;
    if (answer.kind === GRANT_KIND.REFUSED) {
      if (signal.aborted) throw abortRefusal(scope, OUTCOME.NOT_RUN);
      const {reason, retryAfterMs} = answer;
      throw new RefusalError(reason, OUTCOME.NOT_RUN, refusalDetail(reason), {
        retryAfterMs,
      });
    }
    const result = await runGranted(dependencies, scope, request, answer, run);
    if (result.refusal) throw result.refusal;
    if (result.kind !== RELEASE_KIND.NOT_ACCEPTED) return;
    if (signal.aborted) throw abortRefusal(scope, OUTCOME.NOT_RUN);
    dependencies.context.metrics.increment('retry', {reason: 'not_accepted'});
    excluded.push(answer.upstreamId);
    if (!dependencies.retryBudget.takeRetry()) break;
  }
  const reason = REFUSAL_REASON.RETRIES_EXHAUSTED;
  throw new RefusalError(reason, OUTCOME.NOT_RUN, refusalDetail(reason), {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

async function runGranted(
  dependencies: DispatchDependencies,
  scope: RequestScope,
  request: GrantRequest,
  answer: Exclude<
    Awaited<ReturnType<GrantClient['acquire']>>['answer'],
    {kind: typeof GRANT_KIND.REFUSED}
  >,
  run: RunAtUpstream,
): Promise<RunResult> {
  const {requestId} = scope;
  const {upstreamId, url} = answer;
  const isJoined = answer.kind === GRANT_KIND.JOINED;
  dependencies.traces.add(requestId, isJoined ? 'joined' : 'granted', {
    upstreamId,
  });
  scope.openRequest.phase = REQUEST_PHASE.RUNNING;
  if (!isJoined) dependencies.grantClient.recordStart({request, upstreamId});
  const result = await run({
    upstreamId,
    url,
    upstreamRequestId: isJoined ? answer.runningRequestId : requestId,
    isJoined,
  });
  dependencies.traces.add(requestId, result.kind, {upstreamId});
  if (!isJoined)
    void dependencies.grantClient.reportEnd(toReleaseReport(scope, result));
  return result;
}

function toReleaseReport(
  scope: RequestScope,
  result: RunResult,
): ReleaseReport {
  return {
    requestId: scope.requestId,
    service: scope.serviceName,
    kind: result.kind,
    firstTokenMs: result.firstTokenMs,
    decodeMs: result.decodeMs,
    outputTokens: result.outputTokens,
    computedPromptTokens: result.computedPromptTokens,
  };
}
