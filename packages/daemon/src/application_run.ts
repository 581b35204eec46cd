import {OUTCOME, REFUSAL_REASON, RELEASE_KIND} from '@fescuespool/coordination';
import type {ReleaseKind} from '@fescuespool/coordination';
import {HEADER, HOP_BY_HOP_HEADERS, RefusalError} from '@fescuespool/protocol';
import type {HttpExchange} from '@fescuespool/transport';
import {openExchange} from '@fescuespool/transport';
import type {IncomingHttpHeaders} from 'node:http';
import type {RunResult, UpstreamGrant} from './dispatch.js';
import {abortRefusal, NOT_ACCEPTED_RESULT} from './dispatch.js';
import type {RequestScope} from './request_scope.js';
import type {DaemonContext} from './types.js';
import {withLocalAddress} from './upstream_client.js';

/** Headers of one connection or for this daemon, which are not forwarded. */
const DROPPED_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  'content-length',
  'expect',
  HEADER.AUTHORIZATION,
  HEADER.REQUEST_ID,
  HEADER.DEADLINE_MS,
]);

/** Returns the headers of a message that may be forwarded. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}

/** An HTTP call to an application service. */
export interface ApplicationCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Whether the call continues after its caller has disconnected. */
  readonly isDetached: boolean;
}

/**
 * Consumes a response; resolves with false if it could not be read or sent
 * whole.
 */
export type ResponseConsumer = (exchange: HttpExchange) => Promise<boolean>;

/**
 * Makes one attempt to run an application call at an upstream; never throws.
 */
export async function runApplicationCall(
  context: DaemonContext,
  scope: RequestScope,
  call: ApplicationCall,
  grant: UpstreamGrant,
  consumeResponse: ResponseConsumer,
): Promise<RunResult> {
  const startedAtMs = context.clock.monotonicMs();
  const {signal} = scope.openRequest.controller;
  const makeResult = (
    kind: ReleaseKind,
    refusal: RefusalError | null,
  ): RunResult => ({
    ...NOT_ACCEPTED_RESULT,
    kind,
    refusal,
    firstTokenMs: context.clock.monotonicMs() - startedAtMs,
  });
  const opened = await openExchange(
    withLocalAddress(context, {
      url: grant.url + call.path,
      method: call.method,
      headers: {
        ...forwardedHeaders(call.headers),
        'content-length': call.body.length,
        [HEADER.REQUEST_ID]: scope.requestId,
      },
      body: call.body,
      // A call without a response by the deadline may still be running.
      responseTimeoutMs: Math.max(1, scope.deadlineAtMs - startedAtMs),
      signal: call.isDetached ? undefined : signal,
    }),
  );
  if (opened.isErr()) {
    if (opened.error.isUnsent) {
      return NOT_ACCEPTED_RESULT;
    }
    if (signal.aborted) {
      const refusal = abortRefusal(scope, OUTCOME.MAY_HAVE_RUN);
      return makeResult(RELEASE_KIND.CANCELLED, refusal);
    }
    const isPastDeadline = context.clock.monotonicMs() >= scope.deadlineAtMs;
    const refusal = new RefusalError(
      isPastDeadline
        ? REFUSAL_REASON.UPSTREAM_TIMEOUT
        : REFUSAL_REASON.UPSTREAM_FAILED,
      OUTCOME.MAY_HAVE_RUN,
      'the upstream sent no response',
    );
    return makeResult(RELEASE_KIND.FAILED, refusal);
  }
  if (opened.value.res.headers[HEADER.NOT_ACCEPTED] === 'true') {
    opened.value.res.resume();
    return NOT_ACCEPTED_RESULT;
  }
  if (await consumeResponse(opened.value)) {
    return makeResult(RELEASE_KIND.COMPLETED, null);
  }
  opened.value.abort();
  const refusal = new RefusalError(
    REFUSAL_REASON.UPSTREAM_FAILED,
    OUTCOME.PARTLY_RUN,
    'the response of the upstream was cut off',
  );
  return makeResult(RELEASE_KIND.FAILED, refusal);
}
