import type {UpstreamSpec} from '@fescuespool/scheduling';
import type {CallError, HttpExchange} from '@fescuespool/transport';
import {CALL_ERROR_KIND, openExchange} from '@fescuespool/transport';
import type {Agent} from 'node:http';
import {isAddressable} from './address.js';
import {ANY_PATH_TIMEOUT_MS} from './constants.js';
import {PathError} from './errors.js';
import type {UpstreamResponseHead, WireFormat} from './types.js';

/** A request to send to an upstream. */
export interface UpstreamRequest {
  readonly upstream: UpstreamSpec;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly agent: Agent;
  readonly signal: AbortSignal;
}

/** Result of a send, up to the response head. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly exchange: HttpExchange;
      readonly head: UpstreamResponseHead;
    }
  /** No byte was sent. */
  | {
      readonly kind: 'unreachable';
      readonly cause: string;
      /** Whether the cause lies with this gateway, not with the upstream. */
      readonly isOwnFault: boolean;
    }
  /** The connection broke; the request may have run. */
  | {readonly kind: 'broken'; readonly cause: string}
  /** The signal was aborted, before or after the request was sent. */
  | {readonly kind: 'aborted'; readonly isSent: boolean};

/** Sends a request and waits for the response head. */
export async function sendToUpstream(
  request: UpstreamRequest,
  wireFormat: WireFormat,
): Promise<SendResult> {
  const opened = await openExchange({
    url: `http://${request.upstream.address}`,
    method: request.method,
    rawPath: request.path,
    headers: request.headers,
    body: request.body,
    agent: request.agent,
    connectTimeoutMs: ANY_PATH_TIMEOUT_MS,
    signal: request.signal,
  });
  if (opened.isOk()) {
    const {res} = opened.value;
    const head = wireFormat.parseResponse(res.statusCode ?? 0, res.headers);
    return {kind: 'answered', exchange: opened.value, head};
  }
  const {isUnsent, message} = opened.error;
  if (request.signal.aborted) return {kind: 'aborted', isSent: !isUnsent};
  if (isUnsent) {
    const isOwnFault = isOwnFaultIn(opened.error, request.upstream);
    return {kind: 'unreachable', cause: message, isOwnFault};
  }
  return {kind: 'broken', cause: message};
}

/** Whether a failure to send says nothing against the upstream. */
function isOwnFaultIn(
  {kind, cause}: CallError,
  upstream: UpstreamSpec,
): boolean {
  return kind === CALL_ERROR_KIND.UNSENDABLE
    ? isAddressable(upstream)
    : cause instanceof PathError && cause.isOwnFault;
}
