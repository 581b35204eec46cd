import type {UpstreamSpec} from '@fescuespool/scheduling';
import type {HttpExchange} from '@fescuespool/transport';
import {CALL_ERROR_KIND, openExchange} from '@fescuespool/transport';
import type {Agent} from 'node:http';
import net from 'node:net';
import {splitAddress} from './address.js';
import {
  LIVENESS_PROBE_TIMEOUT_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
  UPSTREAM_CONNECT_TIMEOUT_MS,
} from './constants.js';
import type {UpstreamResponseHead, WireFormat} from './types.js';

/** One send of a request to an upstream. */
export interface UpstreamRequest {
  readonly upstream: UpstreamSpec;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** Connections to use again; null where a fresh one is needed. */
  readonly agent: Agent | null;
  /** Time in milliseconds for the head of the answer; null for no limit. */
  readonly startTimeoutMs: number | null;
  readonly signal: AbortSignal;
}

/** What came of a send, as far as the head of the answer. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly exchange: HttpExchange;
      readonly head: UpstreamResponseHead;
    }
  /** No byte was sent. */
  | {readonly kind: 'unreachable'; readonly cause: string}
  /** The request may have run. */
  | {readonly kind: 'broken'; readonly cause: string}
  | {readonly kind: 'silent'}
  | {readonly kind: 'aborted'};

/** Sends a request and waits for the head of the answer. */
export async function sendToUpstream(
  send: UpstreamRequest,
  wire: WireFormat,
): Promise<SendResult> {
  const opened = await openExchange({
    url: `http://${send.upstream.address}`,
    method: send.method,
    rawPath: send.path,
    headers: send.headers,
    body: send.body,
    agent: send.agent ?? undefined,
    connectTimeoutMs: UPSTREAM_CONNECT_TIMEOUT_MS,
    responseTimeoutMs: send.startTimeoutMs ?? undefined,
    signal: send.signal,
  });
  if (opened.isOk()) {
    const {res} = opened.value;
    const head = wire.parseResponse(res.statusCode ?? 0, res.headers);
    return {kind: 'answered', exchange: opened.value, head};
  }
  const {kind, isTimeout, message} = opened.error;
  if (kind === CALL_ERROR_KIND.NOT_SENT) {
    return send.signal.aborted
      ? {kind: 'aborted'}
      : {kind: 'unreachable', cause: message};
  }
  if (send.signal.aborted) return {kind: 'aborted'};
  return isTimeout ? {kind: 'silent'} : {kind: 'broken', cause: message};
}

/** A whole answer, held back until its last byte has come. */
export interface BufferedResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Reads an answer to its end; null where it broke off or is too large. */
export async function bufferResponse(
  exchange: HttpExchange,
): Promise<BufferedResponse | null> {
  const {res} = exchange;
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_BUFFERED_RESPONSE_BYTES) {
        exchange.abort();
        return null;
      }
      chunks.push(chunk);
    }
  } catch {
    // The connection broke; what came is no whole answer.
    return null;
  }
  if (!res.complete || exchange.hasFailed()) return null;
  const {rawHeaders} = res;
  return {status: res.statusCode ?? 0, rawHeaders, body: Buffer.concat(chunks)};
}

/** Tells whether an upstream accepts connections. */
export function acceptsConnections(address: string): Promise<boolean> {
  const {host, port} = splitAddress(address);
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const end = (isAlive: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isAlive);
    };
    const timer = setTimeout(() => end(false), LIVENESS_PROBE_TIMEOUT_MS);
    socket.once('connect', () => end(true));
    socket.once('error', () => end(false));
  });
}
