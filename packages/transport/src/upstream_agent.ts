import http from 'node:http';
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Keeps connections to upstreams for further requests. Bytes that come while no
 * request is open belong to no answer, so they end the connection.
 */
export class UpstreamAgent extends http.Agent {
  /** `idleMs` and `maxIdle` bound the idle connections of each upstream. */
  constructor(idleMs: number, maxIdle: number) {
    super({keepAlive: true, maxFreeSockets: maxIdle, timeout: idleMs});
  }

  override keepSocketAlive(socket: Socket): boolean {
    // The types of Node.js do not tell that this answers a boolean.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (socket.readableLength > 0) return false;
    socket.on('data', endConnection);
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.off('data', endConnection);
    super.reuseSocket(socket, req);
  }
}

function endConnection(this: Socket): void {
  this.destroy();
}
