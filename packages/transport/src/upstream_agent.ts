import http from 'node:http';
import type {ClientRequest, ClientRequestArgs} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import type {ConnectSocket} from './types.js';

/** Agent that opens each connection with the given function. */
export class ConnectingAgent extends http.Agent {
  constructor(
    options: http.AgentOptions,
    private readonly connect: ConnectSocket,
  ) {
    super(options);
  }

  override createConnection(options: ClientRequestArgs): Socket {
    // Its path is that of the request, which would name a Unix socket here.
    const tcpOptions = {...options, path: undefined};
    return this.connect(tcpOptions as unknown as TcpNetConnectOpts);
  }
}

/**
 * Agent that pools connections to upstreams. Bytes received on an idle
 * connection belong to no response, so they close it.
 */
export class UpstreamAgent extends ConnectingAgent {
  /**
   * Keeps up to `maxIdle` idle connections to each upstream, for up to `idleMs`
   * milliseconds.
   */
  constructor(idleMs: number, maxIdle: number, connect: ConnectSocket) {
    super({keepAlive: true, maxFreeSockets: maxIdle, timeout: idleMs}, connect);
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
