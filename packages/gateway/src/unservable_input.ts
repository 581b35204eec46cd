import type http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {isNetworkError} from './early_close.js';
import {NOT_READY_RETRY_AFTER_MS} from './constants.js';
import {stripHead} from './head_budget.js';
import {HEADER_FIELDS_TOO_LARGE, lastResponse} from './last_response.js';
import type {PipelineGate, ServeRequest} from './pipeline_gate.js';

const BAD_REQUEST = 400;
const METHOD_NOT_ALLOWED = 405;
const REQUEST_TIMEOUT = 408;
const PAYLOAD_TOO_LARGE = 413;

/** Status of a request that did not run, as there is no room for it. */
export const SERVICE_UNAVAILABLE = 503;

const MS_PER_SECOND = 1_000;

/** Field of such a response that says when to try again. */
export const RETRY_AFTER: readonly string[] = [
  `Retry-After: ${(NOT_READY_RETRY_AFTER_MS / MS_PER_SECOND).toFixed(3)}`,
];

/** Statuses for errors of Node.js; others are 400. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: PAYLOAD_TOO_LARGE,
  HPE_HEADER_OVERFLOW: HEADER_FIELDS_TOO_LARGE,
};

/** Error of Node.js when a connection ends in the middle of a request. */
const ENDED_BY_CALLER = 'HPE_INVALID_EOF_STATE';

/**
 * Answers what a caller sends that is no request, or is too slow to be one, after
 * the earlier requests of its connection; Node.js would close that at once.
 */
export function answerUnservable(
  server: http.Server,
  gate: PipelineGate,
): void {
  server.on('clientError', (err: NodeJS.ErrnoException, stream: Duplex) => {
    const code = err.code ?? '';
    if (stream.destroyed || isNetworkError(err) || code === ENDED_BY_CALLER) {
      stream.destroy();
      return;
    }
    const status = STATUS_BY_CODE[code] ?? BAD_REQUEST;
    gate.end(stream as Socket, lastResponse(status));
  });
  server.on('connect', (_req: IncomingMessage, stream: Duplex) => {
    const socket = stream as Socket;
    // Node.js leaves the connection to the listener.
    socket.on('error', () => undefined);
    socket.on('drain', () => gate.resumeWriting(socket));
    gate.end(socket, lastResponse(METHOD_NOT_ALLOWED));
  });
}

/** Refuses HTTP/1.1 requests without a host; the others are served. */
export function refuseWithoutHost(serve: ServeRequest): ServeRequest {
  return (req, res, waitedMs, hasRoom): void => {
    if (req.httpVersion !== '1.1' || req.headers.host !== undefined) {
      serve(req, res, waitedMs, hasRoom);
      return;
    }
    res.shouldKeepAlive = false;
    res.writeHead(BAD_REQUEST).end();
  };
}

/** Refuses requests whose heads have no room; the others are served. */
export function refuseWithoutRoom(serve: ServeRequest): ServeRequest {
  return (req, res, waitedMs, hasRoom): void => {
    if (hasRoom) {
      serve(req, res, waitedMs, hasRoom);
      return;
    }
    stripHead(req);
    res.shouldKeepAlive = false;
    const fields = RETRY_AFTER.flatMap(field => field.split(': '));
    res.writeHead(SERVICE_UNAVAILABLE, fields).end();
  };
}
