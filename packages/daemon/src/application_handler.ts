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
import {
  isWholeResponse,
  readBody,
  writeWithBackpressure,
} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import type {ApplicationCall, ResponseConsumer} from './application_run.js';
import {forwardedHeaders, runApplicationCall} from './application_run.js';
import type {ClaimDecision, ClaimGate} from './claim_gate.js';
import {createClaimedRequest} from './claim_gate.js';
import {MAX_BUFFERED_RESPONSE_BYTES} from './constants.js';
import type {
  DispatchDependencies,
  RunResult,
  UpstreamGrant,
  Workload,
} from './dispatch.js';
import {dispatch, NOT_ACCEPTED_RESULT} from './dispatch.js';
import type {RequestScope} from './request_scope.js';

/**
 * Whether the service lists a call as non-idempotent: it may run at most once.
 */
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

/**
 * Creates a consumer that streams the response of an upstream to the caller.
 */
export function forwardResponse(
  res: ServerResponse,
  requestId: string,
): ResponseConsumer {
  return async exchange => {
    const {res: upstreamRes} = exchange;
    try {
      res.writeHead(upstreamRes.statusCode ?? 502, {
        ...forwardedHeaders(upstreamRes.headers),
        [HEADER.REQUEST_ID]: requestId,
        ...(upstreamRes.headers['content-length']
          ? {'content-length': upstreamRes.headers['content-length']}
          : {}),
      });
      for await (const chunk of upstreamRes as AsyncIterable<Buffer>) {
        if (!(await writeWithBackpressure(res, chunk))) return false;
      }
      if (!isWholeResponse(exchange)) return false;
      res.end();
      return true;
    } catch {
      return false;
    }
  };
}

/** Reads a response whole; null if it is cut off or too large to buffer. */
async function bufferResponse(
  exchange: HttpExchange,
): Promise<CachedResponse | null> {
  try {
    const {res} = exchange;
    const body = await readBody(res, MAX_BUFFERED_RESPONSE_BYTES);
    if (!isWholeResponse(exchange)) return null;
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

function sendCachedResponse(
  res: ServerResponse,
  response: CachedResponse,
  requestId: string,
): void {
  if (res.destroyed) return;
  const body = Buffer.from(response.bodyBase64, 'base64');
  res.writeHead(response.status, {
    ...response.headers,
    'content-length': body.length,
    [HEADER.REQUEST_ID]: requestId,
  });
  res.end(body);
}

/** Serves a call to an application service; throws a `RefusalError`. */
export async function handleApplication(
  dependencies: DispatchDependencies,
  claimGate: ClaimGate,
  scope: RequestScope,
  call: ApplicationCall,
  res: ServerResponse,
): Promise<void> {
  const {service, idempotencyKey, requestId} = scope;
  const workload = workloadOf(call);
  const runsAtMostOnce = isNonIdempotent(service, call.method, call.path);
  if (!runsAtMostOnce || idempotencyKey === null) {
    if (runsAtMostOnce && service.requireIdempotencyKey) {
      throw new RefusalError(
        REFUSAL_REASON.KEY_REQUIRED,
        OUTCOME.NOT_RUN,
        'this call requires an Idempotency-Key header',
      );
    }
    const consumeResponse = forwardResponse(res, requestId);
    await dispatch(dependencies, scope, workload, grant =>
      runApplicationCall(
        dependencies.context,
        scope,
        call,
        grant,
        consumeResponse,
      ),
    );
    return;
  }
  await dispatch(dependencies, scope, workload, grant =>
    runWithClaim(
      dependencies,
      claimGate,
      scope,
      {...call, isDetached: true},
      grant,
      res,
    ),
  );
}

/** Runs a call under its claim, so that duplicates get the same response. */
async function runWithClaim(
  dependencies: DispatchDependencies,
  claimGate: ClaimGate,
  scope: RequestScope,
  call: ApplicationCall,
  grant: UpstreamGrant,
  res: ServerResponse,
): Promise<RunResult> {
  const {caller, idempotencyKey, requestId, openRequest} = scope;
  const key = idempotencyKey ?? '';
  const claimedRequest = createClaimedRequest(
    caller.accountId,
    key,
    requestId,
    call,
  );
  let decision: ClaimDecision;
  try {
    const {signal} = openRequest.controller;
    decision = await claimGate.acquireClaim(
      claimedRequest,
      scope.deadlineAtMs,
      signal,
    );
  } catch (e) {
    if (!(e instanceof RefusalError)) throw e;
    return {...NOT_ACCEPTED_RESULT, refusal: e};
  }
  if (!decision.mayRun) {
    sendCachedResponse(res, decision.response, requestId);
    return {...NOT_ACCEPTED_RESULT, kind: RELEASE_KIND.CANCELLED};
  }
  const {claim} = decision;
  let response: CachedResponse | null = null;
  const {context} = dependencies;
  const result = await runApplicationCall(
    context,
    scope,
    call,
    grant,
    async exchange => {
      response = await bufferResponse(exchange);
      if (response) sendCachedResponse(res, response, requestId);
      return response !== null;
    },
  );
  if (result.kind === RELEASE_KIND.NOT_ACCEPTED)
    claimGate.releaseClaim(claimedRequest, claim);
  else claimGate.finishClaim(claim, response);
  return result;
}
