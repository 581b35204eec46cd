import type http from 'node:http';
import type {Socket} from 'node:net';
import {destroyAfter} from './response_end.js';

/** Time in milliseconds for which a connection is read after its last response. */
const MAX_LINGER_MS = 2_000;

/** Bytes that are read and discarded in that time. */
const MAX_LINGER_BYTES = 262_144;

/** Reads in that time. */
const MAX_LINGER_READS = 1_024;

/**
 * Time in milliseconds for which a connection is kept, but not read, after that, so
 * that its caller can take what it has not received yet.
 */
const UNREAD_LINGER_MS = 700;

/**
 * Connections that have been ended after their last response, or what could be sent
 * of it, and are read until their callers close them. A connection that is closed
 * before it has received all that its caller sends is reset, and what the caller
 * has not yet received of its responses is lost.
 */
export class LingeringConnections {
  private readonly sockets = new Set<Socket>();
  private readonly emptyListeners: Array<() => void> = [];

  constructor(server: http.Server) {
    server.on('connection', (socket: Socket) => {
      // Node.js calls it after the last response of a connection.
      socket.destroySoon = () => this.end(socket);
    });
  }

  /** Number of these connections. */
  get size(): number {
    return this.sockets.size;
  }

  /** Resolves once there are none. */
  whenNone(): Promise<void> {
    if (this.sockets.size === 0) return Promise.resolve();
    return new Promise(resolve => this.emptyListeners.push(resolve));
  }

  private end(socket: Socket): void {
    if (socket.destroyed || this.sockets.has(socket)) return;
    this.sockets.add(socket);
    destroyAfter(socket, MAX_LINGER_MS);
    socket.once('close', () => this.remove(socket));
    socket.end();
    // Node.js restarts a paused read in the next tick, and only while its parser
    // has the connection.
    socket.resume();
    process.nextTick(() => discardInput(socket));
  }

  private remove(socket: Socket): void {
    this.sockets.delete(socket);
    if (this.sockets.size > 0) return;
    for (const notify of this.emptyListeners.splice(0)) notify();
  }
}

/** Takes a connection from its parser, and discards a bounded number of bytes. */
function discardInput(socket: Socket): void {
  let size = 0;
  let reads = 0;
  socket.removeAllListeners('data');
  socket.on('data', chunk => {
    size += chunk.length;
    const isTooLong = ++reads > MAX_LINGER_READS || size > MAX_LINGER_BYTES;
    if (!isTooLong || socket.isPaused()) return;
    socket.pause();
    destroyAfter(socket, UNREAD_LINGER_MS);
  });
}
