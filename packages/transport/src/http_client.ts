import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import http from 'node:http';
import https from 'node:https';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {ByteAccumulator} from './byte_accumulator.js';
import {CALL_ERROR_KIND, CONNECT_TIMEOUT_MS} from './constants.js';
import {BodyTooLargeError, CallError} from './errors.js';
import type {TlsCredentials} from './types.js';

/** An HTTP request with its connection options and timeouts. */
export interface HttpCall {
  readonly url: string;
  readonly method: string;
  /** Path and query to send unchanged, in place of those of the URL. */
  readonly rawPath?: string;
  /** Headers by name, or a flat list of names and values to send unchanged. */
  readonly headers?: http.OutgoingHttpHeaders | readonly string[];
  readonly body?: string | Buffer;
  /** Local address of the connection. */
  readonly localAddress?: string;
  /** Agent that pools connections; without one a new connection is opened. */
  readonly agent?: http.Agent;
  readonly tls?: TlsCredentials;
  /** Connect timeout in milliseconds; CONNECT_TIMEOUT_MS by default. */
  readonly connectTimeoutMs?: number;
  /** Timeout in milliseconds for the response head; none by default. */
  readonly responseTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Range of the statuses with which HTTP answers a request. */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** An HTTP exchange whose response head has arrived. */
export interface HttpExchange {
  readonly res: http.IncomingMessage;
  /** Closes the connection without waiting for the rest of the response. */
  readonly abort: () => void;
  /**
   * Whether the connection has failed. A response that ends with its connection
   * then looks complete although it is not.
   */
  readonly hasFailed: () => boolean;
  /**
   * Whether only the end of the connection delimits the response, so that its
   * loss may look like an end.
   */
  readonly isDelimitedByClose: boolean;
  /** Whether the connection had been used for other requests. */
  readonly isReusedConnection: boolean;
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
 * Sends a request and waits for the response head. The kind of a CallError says
 * whether any byte can have reached the server. Never rejects.
 */
export function openExchange(
  call: HttpCall,
): Promise<Result<HttpExchange, CallError>> {
  return new Promise(resolve => {
    let req: http.ClientRequest;
    try {
      req = createRequest(call);
    } catch (e) {
      resolve(err(toUnsendable(e)));
      return;
    }
    let isConnected = false;
    let isTimeout = false;
    const fail = (cause: Error): void => {
      const {message} = cause;
      const kind = isConnected
        ? CALL_ERROR_KIND.AMBIGUOUS
        : CALL_ERROR_KIND.NOT_SENT;
      resolve(err(new CallError(kind, message, isTimeout, {cause})));
    };
    const connectTimer = setTimeout(
      () => req.destroy(new Error('connection timed out')),
      call.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    );
    const responseTimer =
      call.responseTimeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            isTimeout = true;
            req.destroy(new Error('response timed out'));
          }, call.responseTimeoutMs);
    const stopTimers = (): void => {
      clearTimeout(connectTimer);
      clearTimeout(responseTimer);
    };
    const onConnect = (): void => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    req.on('socket', (socket: Socket) => {
      if (socket.connecting) socket.once('connect', onConnect);
      else onConnect();
    });
    let hasFailed = false;
    req.on('error', error => {
      hasFailed = true;
      stopTimers();
      fail(error);
    });
    // Nothing was asked for that another protocol could answer.
    req.on('upgrade', (_res, socket) => {
      stopTimers();
      socket.destroy();
      fail(new Error('upstream switched to another protocol'));
    });
    req.on('response', res => {
      stopTimers();
      const {statusCode = 0} = res;
      if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS) {
        req.destroy();
        fail(new Error(`status ${statusCode} does not exist`));
        return;
      }
      const endsWithConnection = isDelimitedByClose(res);
      if (endsWithConnection) {
        res.socket.prependOnceListener('end', () => {
          hasFailed ||= wasReset(res.socket);
        });
      }
      resolve(
        ok({
          res,
          abort: () => req.destroy(),
          hasFailed: () => hasFailed,
          isDelimitedByClose: endsWithConnection,
          isReusedConnection: req.reusedSocket,
        }),
      );
    });
    req.end(call.body);
  });
}

function toUnsendable(e: unknown): CallError {
  const cause = e instanceof Error ? e : new Error(String(e));
  const {UNSENDABLE} = CALL_ERROR_KIND;
  return new CallError(UNSENDABLE, cause.message, false, {cause});
}

/**
 * Whether a connection that has ended was reset. Node.js reports a reset that
 * follows the last bytes as a normal end, but drops the remote address. Tunnels
 * have none, and fail in place of ending.
 */
function wasReset(connection: Duplex): boolean {
  return connection instanceof Socket && connection.remoteAddress === undefined;
}

/**
 * Whether a response has neither a length nor a transfer encoding, so that the
 * end of its connection delimits it.
 */
function isDelimitedByClose(res: http.IncomingMessage): boolean {
  const {headers} = res;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/** Whether a response that was read to its end is whole. */
export function isWholeResponse({
  res,
  hasFailed,
}: Pick<HttpExchange, 'res' | 'hasFailed'>): boolean {
  return res.complete && !hasFailed();
}

/**
 * Reads a complete body; throws a BodyTooLargeError above `maxBytes`, or the
 * stream's error if it breaks.
 */
export async function readBody(
  stream: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  const body = new ByteAccumulator();
  for await (const chunk of stream) {
    if (body.length + chunk.length > maxBytes) {
      throw new BodyTooLargeError(maxBytes);
    }
    body.append(chunk);
  }
  return body.takeAll();
}
