import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {hasBodyHeaders} from './open_request.js';

/**
 * Bounds the connections of a server. In place of an excess one it closes the
 * oldest that has sent no complete request head, else no complete body, else the
 * one that has been idle for the longest, so that callers that only hold
 * connections keep nobody out.
 */
export function limitConnections(
  server: http.Server,
  maxConnections: number,
  /** Whether a body is expected to end soon, unlike that of a tunnel. */
  bodiesEnd: boolean,
  onClosed: () => void,
): void {
  const silent = new Set<Socket>();
  /** Latest request of each connection whose body is not complete. */
  const sending = new Map<Socket, IncomingMessage>();
  const idle = new Set<Socket>();
  const openRequests = new Map<Socket, number>();
  let count = 0;
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
    if (left === 0 && !socket.destroyed) idle.add(socket);
  };
  server.on('connection', (socket: Socket) => {
    count++;
    socket.once('close', () => {
      count--;
      for (const sockets of [silent, sending, idle]) sockets.delete(socket);
      openRequests.delete(socket);
    });
    silent.add(socket);
    if (count <= maxConnections) return;
    const [oldestSilent] = silent;
    const [oldestIdle] = idle;
    const excess = [oldestSilent, oldestSending(), oldestIdle].find(
      oldest => oldest !== undefined && oldest !== socket,
    );
    onClosed();
    (excess ?? socket).destroy();
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
