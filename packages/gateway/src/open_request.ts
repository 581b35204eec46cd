import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Admission} from './admission.js';
import {ROUTE_KIND} from './constants.js';
import type {RequestTimer} from './request_timer.js';
import type {RequestHead, Route, WireFormat} from './types.js';
import type {BufferedResponse} from './response_body.js';

/**
 * Callers are assumed to abandon a stream without events after the longest of
 * this minimum and the multiples below of the route's objective and event gap.
 */
const MIN_PATIENCE_MS = 2_000;
const OBJECTIVE_PATIENCE_FACTOR = 4;
const GAP_PATIENCE_FACTOR = 8;

/** An admitted request, with its body and its time limit. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly admission: Admission;
  readonly fingerprint: string;
  readonly timer: RequestTimer;
}

/** Whether requests of a route get a stream of events as their response. */
export function isStream(route: Route): boolean {
  return route.kind === ROUTE_KIND.STREAM;
}

/** Whether requests of a route may run more than once. */
export function isRepeatable(route: Route): boolean {
  if (isStream(route)) return route.isResumable;
  return route.kind === ROUTE_KIND.IDEMPOTENT;
}

/** Milliseconds that a caller is assumed to wait for a response to begin. */
export function callerPatienceMs(route: Route): number {
  if (!isStream(route)) return route.timeoutMs;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    OBJECTIVE_PATIENCE_FACTOR * route.objectiveMs,
    GAP_PATIENCE_FACTOR * (route.maxEventGapMs ?? 0),
  );
  return Math.min(route.timeoutMs, patienceMs);
}

/** Whether a request announces a body, which may be empty. */
export function hasBodyHeaders({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Sends a buffered response to the caller, unless it has got one. */
export function sendBufferedResponse(
  {req, res}: OpenRequest,
  wire: WireFormat,
  response: BufferedResponse,
): void {
  // Answered before its send was aborted, as the gateway stops.
  if (res.writableEnded) return;
  const headers = wire.callerResponseHeaders(response.rawHeaders);
  if (req.method !== 'HEAD') {
    headers.push('Content-Length', String(response.body.length));
  }
  res.writeHead(response.status, headers);
  res.end(response.body);
}
