import http from 'node:http';
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Agent that pools connections to upstreams. Bytes received on an idle
 * connection belong to no response, so they close it.
 */
export class UpstreamAgent extends http.Agent {
  /**
   * Keeps up to `maxIdle` idle connections to each upstream, for up to `idleMs`
   * milliseconds.
   */
  constructor(idleMs: number, maxIdle: number) {
    super({keepAlive: true, maxFreeSockets: maxIdle, timeout: idleMs});
  }

  override keepSocketAlive(socket: Socket): boolean {
    // The type of this Node.js method omits the boolean that it returns.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (socket.readableLength > 0) return false;
    socket.on('data', closeConnection);
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.off('data', closeConnection);
    super.reuseSocket(socket, req);
  }
}

function closeConnection(this: Socket): void {
  this.destroy();
}
