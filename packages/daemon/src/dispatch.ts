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

/** What a request's descriptor adds to its scope. */
export interface Workload {
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  readonly content: string | Buffer;
  /** Whether a re-send with the same key joins the running stream. */
  readonly isJoinable: boolean;
}

/** A grant that a request may use once. */
export interface UpstreamGrant {
  readonly upstreamId: string;
  readonly url: string;
  /** Identifier at the upstream; another request's where one is joined. */
  readonly upstreamRequestId: string;
  readonly isJoined: boolean;
}

/** What became of one try at an upstream. */
export interface RunResult {
  readonly kind: ReleaseKind;
  readonly firstTokenMs: number | null;
  readonly decodeMs: number | null;
  readonly outputTokens: number;
  readonly computedPromptTokens: number | null;
  /** What the caller is told where the try did not complete. */
  readonly refusal: RefusalError | null;
}

/** Result of a try that the upstream provably did not accept. */
export const NOT_ACCEPTED_RESULT: RunResult = {
  kind: RELEASE_KIND.NOT_ACCEPTED,
  firstTokenMs: null,
  decodeMs: null,
  outputTokens: 0,
  computedPromptTokens: null,
  refusal: null,
};

/** Parts of the entry that a dispatch uses. */
export interface DispatchDependencies {
  readonly context: DaemonContext;
  readonly grants: GrantClient;
  readonly retryBudget: RetryBudget;
  readonly traces: TraceLog;
}

/** Runs a request at an upstream once; it never throws. */
export type RunAtUpstream = (grant: UpstreamGrant) => Promise<RunResult>;

/** Makes the refusal of a request that was ended from this side. */
export function abortRefusal(
  scope: RequestScope,
  outcome: Outcome,
): RefusalError {
  const reason = scope.openRequest.endReason ?? REFUSAL_REASON.CALLER_GONE;
  return new RefusalError(reason, outcome, describe(reason), {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function describe(reason: RefusalReason): string {
  return `the request was refused: ${reason.replaceAll('_', ' ')}`;
}

function makeGrantRequest(
  parts: DispatchDependencies,
  scope: RequestScope,
  work: Workload,
  excluded: readonly string[],
  waitedMs: number,
): GrantRequest {
  const {accountId, account, tier} = scope.caller;
  const {clock, settings} = parts.context;
  const content = sha256Hex(work.content);
  const key = scope.idempotencyKey;
  const isJoinable = work.isJoinable && key !== null;
  return {
    requestId: scope.requestId,
    entryId: settings.memberId,
    service: scope.serviceName,
    tier,
    accountId,
    weight: account.weight,
    promptTokens: work.promptTokens,
    maxTokens: work.maxTokens,
    prefixHashes: work.prefixHashes,
    remainingMs: scope.deadlineAtMs - clock.monotonicMs(),
    waitedMs,
    fingerprint: sha256Hex(`${accountId}\n${content}`).slice(0, 32),
    joinKey: isJoinable
      ? sha256Hex(`${accountId}\n${key}\n${content}`).slice(0, 32)
      : null,
    preemptible: scope.openRequest.preemptible,
    excluded,
  };
}

/**
 * Takes a request to an upstream: waits for a grant, runs it there once, and
 * tries another upstream only where the first provably did not accept it.
 * Throws a refusal; returns once the answer is whole.
 */
export async function dispatch(
  parts: DispatchDependencies,
  scope: RequestScope,
  work: Workload,
  run: RunAtUpstream,
): Promise<void> {
  parts.retryBudget.recordRequest();
  const excluded: string[] = [];
  let waitedMs = 0;
  for (let attempt = 1; attempt <= MAX_DISPATCH_ATTEMPTS; attempt++) {
    const request = makeGrantRequest(parts, scope, work, excluded, waitedMs);
    const {signal} = scope.openRequest.controller;
    scope.openRequest.phase = REQUEST_PHASE.WAITING;
    const waited = await parts.grants.acquire(request, signal);
    waitedMs += waited.waitedMs;
    const {answer} = waited;
    if (answer.kind === GRANT_KIND.REFUSED) {
      if (signal.aborted) throw abortRefusal(scope, OUTCOME.NOT_RUN);
      const {reason, retryAfterMs} = answer;
      throw new RefusalError(reason, OUTCOME.NOT_RUN, describe(reason), {
        retryAfterMs,
      });
    }
    const result = await runGranted(parts, scope, request, answer, run);
    if (result.refusal) throw result.refusal;
    if (result.kind !== RELEASE_KIND.NOT_ACCEPTED) return;
    if (signal.aborted) throw abortRefusal(scope, OUTCOME.NOT_RUN);
    parts.context.metrics.increment('retry', {reason: 'not_accepted'});
    excluded.push(answer.upstreamId);
    if (!parts.retryBudget.takeRetry()) break;
  }
  const reason = REFUSAL_REASON.RETRIES_EXHAUSTED;
  throw new RefusalError(reason, OUTCOME.NOT_RUN, describe(reason), {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

async function runGranted(
  parts: DispatchDependencies,
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
  parts.traces.add(requestId, isJoined ? 'joined' : 'granted', {upstreamId});
  scope.openRequest.phase = REQUEST_PHASE.RUNNING;
  if (!isJoined) parts.grants.recordStart({request, upstreamId});
  const result = await run({
    upstreamId,
    url,
    upstreamRequestId: isJoined ? answer.runningRequestId : requestId,
    isJoined,
  });
  parts.traces.add(requestId, result.kind, {upstreamId});
  if (!isJoined) void parts.grants.reportEnd(toReport(scope, result));
  return result;
}

function toReport(scope: RequestScope, result: RunResult): ReleaseReport {
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
