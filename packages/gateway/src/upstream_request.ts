import type {GatewayContext} from './gateway_context.js';
import type {Grant} from './grant.js';
import type {OpenRequest} from './open_request.js';
import {hasBodyHeaders, isRepeatable} from './open_request.js';
import type {UpstreamRequest} from './upstream_send.js';

/** Place of a send in its request. */
export interface SendPosition {
  /** Last event that the caller has; null if it has none. */
  readonly lastEventId: string | null;
  readonly isFirst: boolean;
  readonly signal: AbortSignal;
}

/** Creates what is sent to the upstream on which a request was placed. */
export function createUpstreamRequest(
  {wireFormat, upstreamPaths}: GatewayContext,
  {req, body, admission, timer}: OpenRequest,
  {upstream}: Grant,
  {lastEventId, isFirst, signal}: SendPosition,
): UpstreamRequest {
  return {
    upstream,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: wireFormat.upstreamRequestHeaders(req.rawHeaders, {
      instanceId: upstream.instanceId,
      accountName: admission.account?.name ?? null,
      deadlineMs: Math.max(1, Math.floor(timer.remainingMs)),
      lastEventId,
      bodyBytes: body.length,
      hasBody: body.length > 0 || hasBodyHeaders(req),
    }),
    body,
    // A reset on a reused connection leaves open whether the request ran, and
    // a refusal there may be that of an earlier send of this request.
    agent: upstreamPaths.agentFor(
      upstream.address,
      isRepeatable(admission.route) && isFirst,
    ),
    signal: AbortSignal.any([timer.signal, signal]),
  };
}
