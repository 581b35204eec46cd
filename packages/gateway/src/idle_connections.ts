import type {Clock, Logger} from '@fescuespool/common';
import {whenInputRead} from '@fescuespool/common';
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {IDLE_CLOSE_MARGIN_MS} from './constants.js';
import {LingeringConnections} from './lingering_connections.js';
import {destroyAfter} from './response_end.js';

/**
 * Time in milliseconds for which an idle connection that has been ended is read, so
 * that a request which crosses its end resets nothing.
 */
const IDLE_LINGER_MS = 500;

/** A connection without an open request. */
interface IdleConnection {
  readonly sinceMs: number;
  /** Longest limit that its caller may go by. */
  readonly limitMs: number;
}

/**
 * Closes idle connections of callers. Each is kept for as long as any limit
 * that its last response announced, or that has come into force since.
 */
export class IdleConnections {
  /** Connections that have had their last response. */
  readonly lingering: LingeringConnections;
  private readonly idle = new Map<Socket, IdleConnection>();
  /** Number of open requests of each connection that has any. */
  private readonly openRequests = new Map<Socket, number>();
  /** Bytes read of each connection up to the end of its latest request. */
  private readonly readBytes = new Map<Socket, number>();
  /** Resolves once the latest close of idle connections is done. */
  private closing: Promise<void> = Promise.resolve();

  constructor(
    private readonly server: http.Server,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.lingering = new LingeringConnections(server);
    server.on('connection', (socket: Socket) => {
      this.readBytes.set(socket, 0);
      socket.once('close', () => this.forget(socket));
    });
    server.on('timeout', (socket: Socket) => this.closeUnlessRead(socket));
    // Node.js calls it at the server's close, and would close connections whose
    // last response has been written, but not yet sent.
    server.closeIdleConnections = () => {
      this.closing = this.closeIdle();
    };
  }

  /**
   * Resolves once those that were idle when the server was closed are closed, or
   * have an open request.
   */
  whenClosed(): Promise<void> {
    return this.closing;
  }

  /** Follows a request to the end of its response. */
  handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const announcedMs = this.server.keepAliveTimeout;
    this.idle.delete(socket);
    // Node.js resets only timers that it set, which it does not for a limit of 0.
    socket.setTimeout(0);
    const count = this.openRequests.get(socket) ?? 0;
    this.openRequests.set(socket, count + 1);
    this.readBytes.set(socket, socket.bytesRead);
    req.once('end', () => {
      if (!socket.destroyed) this.readBytes.set(socket, socket.bytesRead);
    });
    res.once('finish', () => this.handleResponse(socket, announcedMs));
  }

  /** Applies a limit in milliseconds; it shortens no wait that has begun. */
  setLimit(limitMs: number): void {
    this.server.keepAliveTimeout = limitMs;
    for (const [socket, {sinceMs, limitMs: previousMs}] of this.idle) {
      if (limitMs > previousMs) this.keep(socket, sinceMs, limitMs);
    }
  }

  /** Closes the connections that have no open request and none that has begun. */
  private async closeIdle(): Promise<void> {
    await whenInputRead();
    for (const [socket, readBytes] of this.readBytes) {
      const isIdle = !this.openRequests.has(socket) && !socket.writableEnded;
      const isRead = socket.bytesRead === readBytes && !socket.readableLength;
      if (isIdle && isRead) this.end(socket);
    }
  }

  private handleResponse(socket: Socket, announcedMs: number): void {
    const count = (this.openRequests.get(socket) ?? 0) - 1;
    if (count > 0) {
      this.openRequests.set(socket, count);
      return;
    }
    this.openRequests.delete(socket);
    if (socket.destroyed || socket.writableEnded) return;
    const limitMs = Math.max(announcedMs, this.server.keepAliveTimeout);
    this.keep(socket, this.clock.monotonicMs(), limitMs);
  }

  private keep(socket: Socket, sinceMs: number, limitMs: number): void {
    this.idle.set(socket, {sinceMs, limitMs});
    const idleMs = this.clock.monotonicMs() - sinceMs;
    socket.setTimeout(Math.max(1, limitMs - idleMs + IDLE_CLOSE_MARGIN_MS));
  }

  /** Closes a connection unless bytes of a request are waiting to be read. */
  private closeUnlessRead(socket: Socket): void {
    const {bytesRead} = socket;
    // After a stall, timers run out before the bytes that came meanwhile are read.
    void whenInputRead().then(() => {
      const isRead = socket.bytesRead === bytesRead && !socket.readableLength;
      if (isRead) this.close(socket);
    });
  }

  private close(socket: Socket): void {
    const connection = this.idle.get(socket);
    const inForceMs = this.server.keepAliveTimeout;
    if (connection && connection.limitMs !== inForceMs) {
      const {limitMs} = connection;
      this.log.info('idle_connection_closed', {limitMs, inForceMs});
    }
    this.end(socket);
  }

  private end(socket: Socket): void {
    this.idle.delete(socket);
    socket.destroySoon();
    destroyAfter(socket, IDLE_LINGER_MS);
  }

  private forget(socket: Socket): void {
    this.idle.delete(socket);
    this.openRequests.delete(socket);
    this.readBytes.delete(socket);
  }
}
