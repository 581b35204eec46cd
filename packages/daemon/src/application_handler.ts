import {
  estimateTokens,
  OUTCOME,
  REFUSAL_REASON,
  RELEASE_KIND,
} from '@fescuespool/coordination';
import type {CachedResponse} from '@fescuespool/protocol';
import {HEADER, RefusalError} from '@fescuespool/protocol';
import type {ServiceConfig} from '@fescuespool/state';
import type {HttpExchange} from '@fescuespool/transport';
import {readBody, writeWithBackpressure} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import type {ApplicationCall, ResponseConsumer} from './application_run.js';
import {forwardedHeaders, runApplicationCall} from './application_run.js';
import type {ClaimGate, ClaimDecision} from './claim_gate.js';
import {claimSubject} from './claim_gate.js';
import {MAX_BUFFERED_RESPONSE_BYTES} from './constants.js';
import type {
  DispatchDependencies,
  RunResult,
  UpstreamGrant,
  Workload,
} from './dispatch.js';
import {dispatch, NOT_ACCEPTED_RESULT} from './dispatch.js';
import type {RequestScope} from './request_scope.js';

/** Whether a call may run at most once. */
export function isNonIdempotent(
  service: ServiceConfig,
  method: string,
  path: string,
): boolean {
  return service.nonIdempotent.some(
    rule => rule.method === method && path.startsWith(rule.pathPrefix),
  );
}

function workloadOf(call: ApplicationCall): Workload {
  return {
    promptTokens: estimateTokens(`${call.path}${call.body.toString('latin1')}`),
    maxTokens: 0,
    prefixHashes: [],
    content: Buffer.concat([
      Buffer.from(`${call.method} ${call.path}\n`),
      call.body,
    ]),
    isJoinable: false,
  };
}

/** Passes an answer on while it comes; false where it broke off. */
function passThrough(res: ServerResponse, requestId: string): ResponseConsumer {
  return async exchange => {
    const {res: answer} = exchange;
    try {
      res.writeHead(answer.statusCode ?? 502, {
        ...forwardedHeaders(answer.headers),
        [HEADER.REQUEST_ID]: requestId,
        ...(answer.headers['content-length']
          ? {'content-length': answer.headers['content-length']}
          : {}),
      });
      for await (const chunk of answer as AsyncIterable<Buffer>) {
        if (!(await writeWithBackpressure(res, chunk))) return false;
      }
      res.end();
      return true;
    } catch {
      return false;
    }
  };
}

async function readAnswer(
  exchange: HttpExchange,
): Promise<CachedResponse | null> {
  try {
    const {res} = exchange;
    const body = await readBody(res, MAX_BUFFERED_RESPONSE_BYTES);
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(forwardedHeaders(res.headers))) {
      headers[name] = Array.isArray(value) ? value.join(', ') : value;
    }
    const bodyBase64 = body.toString('base64');
    return {status: res.statusCode ?? 502, headers, bodyBase64};
  } catch {
    return null;
  }
}

function sendKept(
  res: ServerResponse,
  answer: CachedResponse,
  requestId: string,
): void {
  if (res.destroyed) return;
  const body = Buffer.from(answer.bodyBase64, 'base64');
  res.writeHead(answer.status, {
    ...answer.headers,
    'content-length': body.length,
    [HEADER.REQUEST_ID]: requestId,
  });
  res.end(body);
}

/** Serves a call to an application service; throws a refusal. */
export async function handleApplication(
  parts: DispatchDependencies,
  gate: ClaimGate,
  scope: RequestScope,
  call: ApplicationCall,
  res: ServerResponse,
): Promise<void> {
  const {service, idempotencyKey, requestId} = scope;
  const work = workloadOf(call);
  const isOnce = isNonIdempotent(service, call.method, call.path);
  if (!isOnce || idempotencyKey === null) {
    if (isOnce && service.requireIdempotencyKey) {
      throw new RefusalError(
        REFUSAL_REASON.KEY_REQUIRED,
        OUTCOME.NOT_RUN,
        'this call needs an Idempotency-Key header',
      );
    }
    const take = passThrough(res, requestId);
    await dispatch(parts, scope, work, grant =>
      runApplicationCall(parts.context, scope, call, grant, take),
    );
    return;
  }
  await dispatch(parts, scope, work, grant =>
    runOnce(parts, gate, scope, {...call, isDetached: true}, grant, res),
  );
}

/** Runs a call under its claim, so that re-sends get the same answer. */
async function runOnce(
  parts: DispatchDependencies,
  gate: ClaimGate,
  scope: RequestScope,
  call: ApplicationCall,
  grant: UpstreamGrant,
  res: ServerResponse,
): Promise<RunResult> {
  const {caller, idempotencyKey, requestId, openRequest: open} = scope;
  const key = idempotencyKey ?? '';
  const subject = claimSubject(caller.accountId, key, requestId, call);
  let decision: ClaimDecision;
  try {
    const {signal} = open.controller;
    decision = await gate.acquireClaim(subject, scope.deadlineAtMs, signal);
  } catch (e) {
    if (!(e instanceof RefusalError)) throw e;
    return {...NOT_ACCEPTED_RESULT, refusal: e};
  }
  if (!decision.mayRun) {
    sendKept(res, decision.response, requestId);
    return {...NOT_ACCEPTED_RESULT, kind: RELEASE_KIND.CANCELLED};
  }
  const {claim} = decision;
  let answer: CachedResponse | null = null;
  const {context} = parts;
  const result = await runApplicationCall(
    context,
    scope,
    call,
    grant,
    async exchange => {
      answer = await readAnswer(exchange);
      if (answer) sendKept(res, answer, requestId);
      return answer !== null;
    },
  );
  if (result.kind === RELEASE_KIND.NOT_ACCEPTED)
    gate.releaseClaim(subject, claim);
  else gate.finishClaim(claim, answer);
  return result;
}
