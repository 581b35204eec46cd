import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ChunkPacer} from './chunk_pacer.js';
import type {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {discardRest, isRestUnwanted, limitRest} from './request_body.js';
import type {RequestHead} from './types.js';

const MS_PER_SECOND = 1_000;

/** A request that is refused; its head is null if it could not be read. */
export interface RefusedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead | null;
  readonly refusal: GatewayRefusalError;
}

/** Sends a refusal as the response to a request. */
export function sendRefusal(
  {wireFormat, metrics}: GatewayContext,
  pacer: ChunkPacer,
  {req, res, head, refusal}: RefusedRequest,
): void {
  const {reason, status, retryAfterMs} = refusal;
  const body = `${JSON.stringify({reason})}\n`;
  const headers = wireFormat.ownResponseHeaders(head?.requestId ?? null);
  headers.push('Content-Type', 'application/json');
  headers.push('Content-Length', String(Buffer.byteLength(body)));
  if (retryAfterMs !== null) {
    const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(3);
    headers.push('Retry-After', seconds);
  }
  if (!isRestUnwanted(req)) {
    res.writeHead(status, headers);
    res.end(body);
    limitRest(req, res);
    return;
  }
  metrics.recordUnruly('body_unwanted');
  res.shouldKeepAlive = false;
  res.writeHead(status, headers);
  res.write(body);
  discardRest(req, pacer, () => res.end());
}
