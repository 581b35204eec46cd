import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Admission} from './admission.js';
import {ROUTE_KIND} from './constants.js';
import type {RequestTimer} from './request_clock.js';
import type {RequestHead, Route, WireFormat} from './types.js';
import type {BufferedResponse} from './upstream_send.js';

/** Callers leave a stream without events after the longest of these. */
const LEAST_PATIENCE_MS = 2_000;
const OBJECTIVE_PATIENCE = 4;
const GAP_PATIENCE = 8;

/** A request that was admitted, with its body. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly admission: Admission;
  readonly fingerprint: string;
  readonly timer: RequestTimer;
}

/** Whether requests of a route are answered with a stream. */
export function isStream(route: Route): boolean {
  return route.kind === ROUTE_KIND.STREAM;
}

/** Whether requests of a route may run more than once. */
export function isRepeatable(route: Route): boolean {
  if (isStream(route)) return route.isResumable;
  return route.kind === ROUTE_KIND.IDEMPOTENT;
}

/** Milliseconds for which a caller waits for an answer to begin. */
export function callerPatienceMs(route: Route): number {
  if (!isStream(route)) return route.timeoutMs;
  const longest = Math.max(
    LEAST_PATIENCE_MS,
    OBJECTIVE_PATIENCE * route.objectiveMs,
    GAP_PATIENCE * (route.maxEventGapMs ?? 0),
  );
  return Math.min(route.timeoutMs, longest);
}

/** Gives a caller an answer that was held back until it was whole. */
export function sendBufferedResponse(
  {req, res}: OpenRequest,
  wire: WireFormat,
  held: BufferedResponse,
): void {
  const headers = wire.callerResponseHeaders(held.rawHeaders);
  if (req.method !== 'HEAD') {
    headers.push('Content-Length', String(held.body.length));
  }
  res.writeHead(held.status, headers);
  res.end(held.body);
}
