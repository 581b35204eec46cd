import http from 'node:http';
import type {ClientRequest, ClientRequestArgs} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';
import type {ConnectionOpener} from './types.js';

/** Called with a connection, or with the error that prevented it. */
type OnCreated = (error: Error | null, connection: Duplex) => void;

/** Agent that opens each connection with the given function. */
class OpeningAgent extends http.Agent {
  constructor(
    options: http.AgentOptions,
    private readonly open: ConnectionOpener,
  ) {
    super(options);
  }

  override createConnection(
    options: ClientRequestArgs,
    onCreated?: OnCreated,
  ): undefined {
    // Its path is that of the request, which would name a Unix socket here.
    const tcpOptions = {...options, path: undefined};
    const created = this.open(tcpOptions as unknown as TcpNetConnectOpts);
    created.then(
      connection => onCreated?.(null, connection),
      // The connection is not used if there is an error.
      (error: Error) => (onCreated as (error: Error) => void)(error),
    );
  }
}

/** Agent that opens a connection for each request. */
export class SingleUseAgent extends OpeningAgent {
  constructor(open: ConnectionOpener) {
    super({}, open);
  }
}

/**
 * Agent that pools connections to upstreams. Bytes received on an idle
 * connection belong to no response, so they close it.
 */
export class UpstreamAgent extends OpeningAgent {
  /**
   * Keeps up to `maxIdle` idle connections to each upstream, for up to `idleMs`
   * milliseconds, of those that `mayKeep` permits.
   */
  constructor(
    idleMs: number,
    maxIdle: number,
    open: ConnectionOpener,
    private readonly mayKeep: (connection: Duplex) => boolean = () => true,
  ) {
    super({keepAlive: true, maxFreeSockets: maxIdle, timeout: idleMs}, open);
  }

  override keepSocketAlive(socket: Socket): boolean {
    // Asked first, as Node.js expects a socket here, which a tunnel is not.
    if (!this.mayKeep(socket) || socket.readableLength > 0) return false;
    // The type of this Node.js method omits the boolean that it returns.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
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
