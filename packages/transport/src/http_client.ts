import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import http from 'node:http';
import https from 'node:https';
import type {Socket} from 'node:net';
import {CALL_ERROR_KIND, CONNECT_TIMEOUT_MS} from './constants.js';
import {BodyTooLargeError, CallError} from './errors.js';
import type {TlsCredentials} from './types.js';

/** An HTTP call. */
export interface HttpCall {
  readonly url: string;
  readonly method: string;
  /** Path and query to send unchanged, in place of those of the URL. */
  readonly rawPath?: string;
  /** Headers by name, or names and values in turn to send as they are. */
  readonly headers?: http.OutgoingHttpHeaders | readonly string[];
  readonly body?: string | Buffer;
  /** Local address of the connection. */
  readonly localAddress?: string;
  /** Agent that keeps connections; without one the connection is fresh. */
  readonly agent?: http.Agent;
  readonly tls?: TlsCredentials;
  /** Time in milliseconds for the connection; CONNECT_TIMEOUT_MS by default. */
  readonly connectTimeoutMs?: number;
  /** Time in milliseconds until the head of the answer must have come. */
  readonly responseTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** An open HTTP exchange whose answer's head has arrived. */
export interface HttpExchange {
  readonly res: http.IncomingMessage;
  /** Ends the exchange at once. */
  readonly abort: () => void;
  /**
   * Whether the connection has failed. An answer that ends with its connection
   * looks complete then, and is not.
   */
  readonly hasFailed: () => boolean;
}

function createRequest(call: HttpCall): http.ClientRequest {
  const options: https.RequestOptions = {
    method: call.method,
    headers: call.headers as http.OutgoingHttpHeaders | undefined,
    ...(call.rawPath === undefined ? {} : {path: call.rawPath}),
    agent: call.agent ?? false,
    localAddress: call.localAddress,
    signal: call.signal,
  };
  const isSecure = call.url.startsWith('https:');
  return isSecure
    ? https.request(call.url, {...options, ...call.tls})
    : http.request(call.url, options);
}

/**
 * Sends a call and waits for the head of its answer. An error says whether any
 * byte can have reached the other side.
 */
export function openExchange(
  call: HttpCall,
): Promise<Result<HttpExchange, CallError>> {
  return new Promise(resolve => {
    const req = createRequest(call);
    let isConnected = false;
    let isTimeout = false;
    const fail = (message: string): void => {
      const kind = isConnected
        ? CALL_ERROR_KIND.AMBIGUOUS
        : CALL_ERROR_KIND.NOT_SENT;
      resolve(err(new CallError(kind, message, isTimeout)));
    };
    const connectTimer = setTimeout(
      () => req.destroy(new Error('connection timed out')),
      call.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    );
    const answerTimer =
      call.responseTimeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            isTimeout = true;
            req.destroy(new Error('answer timed out'));
          }, call.responseTimeoutMs);
    const stopTimers = (): void => {
      clearTimeout(connectTimer);
      clearTimeout(answerTimer);
    };
    const connected = (): void => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    req.on('socket', (socket: Socket) => {
      if (socket.connecting) socket.once('connect', connected);
      else connected();
    });
    let hasFailed = false;
    req.on('error', error => {
      hasFailed = true;
      stopTimers();
      fail(error.message);
    });
    req.on('response', res => {
      stopTimers();
      if (endsWithConnection(res)) {
        // A reset behind the last bytes is told as an end; only the peer's name
        // tells that the connection is no longer there.
        res.socket.prependOnceListener('end', () => {
          hasFailed ||= res.socket.remoteAddress === undefined;
        });
      }
      resolve(
        ok({res, abort: () => req.destroy(), hasFailed: () => hasFailed}),
      );
    });
    req.end(call.body);
  });
}

/** Whether an answer has no length of its own, and lasts as its connection. */
function endsWithConnection(res: http.IncomingMessage): boolean {
  const {headers} = res;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/** Reads a whole body up to a bound in bytes; throws on a broken stream. */
export async function readBody(
  stream: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of stream) {
    size += chunk.length;
    if (size > maxBytes) throw new BodyTooLargeError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
