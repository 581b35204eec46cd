import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {hasBodyHeaders} from './open_request.js';

/** Connections in excess of the limit that may be ending, as a part of it. */
const MAX_ENDING_SHARE = 1 / 8;

/**
 * Bounds the connections of a server. In place of an excess one it closes the
 * oldest that has sent no complete request head, else no complete body, else the
 * one that has been idle for the longest, so that callers that only hold
 * connections keep nobody out. One that may have had responses is ended in order,
 * and closed at once only when too many are ending.
 */
export function limitConnections(
  server: http.Server,
  maxConnections: number,
  /** Whether a body is expected to end soon, unlike that of a tunnel. */
  bodiesEnd: boolean,
  onClosed: () => void,
): void {
  const open = new Set<Socket>();
  const silent = new Set<Socket>();
  /** Latest request of each connection whose body is not complete. */
  const sending = new Map<Socket, IncomingMessage>();
  const idle = new Set<Socket>();
  const openRequests = new Map<Socket, number>();
  /** Excess connections whose callers may still receive responses. */
  const ending = new Set<Socket>();
  const maxEnding = Math.max(1, Math.floor(MAX_ENDING_SHARE * maxConnections));
  const forget = (socket: Socket): void => {
    for (const sockets of [open, silent, sending, idle, ending]) {
      sockets.delete(socket);
    }
    openRequests.delete(socket);
  };
  const close = (socket: Socket): void => {
    forget(socket);
    socket.destroy();
  };
  const end = (socket: Socket): void => {
    for (const sockets of [sending, idle]) sockets.delete(socket);
    ending.add(socket);
    socket.destroySoon();
    const [oldest] = ending;
    if (oldest && ending.size > maxEnding) close(oldest);
  };
  const endBody = (socket: Socket, req: IncomingMessage): void => {
    if (sending.get(socket) === req) sending.delete(socket);
  };
  /** The oldest connection that owes no response to a complete request. */
  const oldestSending = (): Socket | undefined => {
    for (const socket of sending.keys()) {
      if (openRequests.get(socket) === 1) return socket;
    }
    return undefined;
  };
  const beginRequest = (socket: Socket): void => {
    silent.delete(socket);
    idle.delete(socket);
    openRequests.set(socket, (openRequests.get(socket) ?? 0) + 1);
  };
  const endRequest = (socket: Socket, req: IncomingMessage): void => {
    const left = (openRequests.get(socket) ?? 0) - 1;
    openRequests.set(socket, left);
    endBody(socket, req);
    const isIdle = left === 0 && !socket.destroyed && !ending.has(socket);
    if (isIdle) idle.add(socket);
  };
  server.on('connection', (socket: Socket) => {
    open.add(socket);
    socket.once('close', () => forget(socket));
    silent.add(socket);
    if (open.size - ending.size <= maxConnections) return;
    onClosed();
    const [oldestSilent] = silent;
    const [oldestIdle] = idle;
    const answered = oldestSending() ?? oldestIdle;
    if (oldestSilent && oldestSilent !== socket) close(oldestSilent);
    else if (answered) end(answered);
    else close(socket);
  });
  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    const {socket} = req;
    beginRequest(socket);
    if (bodiesEnd && hasBodyHeaders(req)) {
      sending.set(socket, req);
      req.once('end', () => endBody(socket, req));
    }
    // A request that was destroyed has no socket any more.
    res.once('finish', () => endRequest(socket, req));
  });
  server.on('connect', (_req: IncomingMessage, stream: Duplex) =>
    beginRequest(stream as Socket),
  );
}
