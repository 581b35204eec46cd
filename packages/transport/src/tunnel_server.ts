import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex, Writable} from 'node:stream';
import type {Socket} from 'node:net';
import {TUNNEL_IDLE_TIMEOUT_MS, TUNNEL_STATUS} from './constants.js';
import type {TunnelStatus} from './types.js';

/** What a `TunnelServer` permits and how it connects. */
export interface TunnelServerOptions {
  /** Status with which a tunnel to an address is refused; null to permit it. */
  readonly refusalFor: (address: string) => TunnelStatus | null;
  /** Connects to an address; null if it can't be reached. */
  readonly connectTo: (address: string) => Promise<Socket | null>;
}

/** A peer that asks for a tunnel. */
interface TunnelClient {
  readonly socket: Socket;
  readonly refuse: (status: TunnelStatus) => void;
  readonly join: (target: Socket) => void;
}

/**
 * Forwards connections for peers that can't reach an address themselves. A POST
 * opens a tunnel whose two directions are chunked bodies, so that the end of this
 * process is not taken for that of the target. CONNECT serves peers of earlier
 * releases, which can't tell the two apart.
 */
export class TunnelServer {
  /** The HTTP server; the caller starts and closes it. */
  readonly server = http.createServer(
    // The body of a tunnel's request lasts as long as the tunnel.
    {requestTimeout: 0},
    (req, res) => this.handleRequest(req, res),
  );
  /** Connections of the peers that have or want a tunnel. */
  private readonly tunnels = new Set<Socket>();
  private readonly idleListeners: Array<() => void> = [];

  constructor(private readonly options: TunnelServerOptions) {
    // The declared type is that of any stream, but an HTTP server has sockets.
    const open = (req: IncomingMessage, stream: Duplex, head: Buffer): void => {
      const socket = stream as Socket;
      void this.open(req.url ?? '', {
        socket,
        refuse: status => refuseConnect(socket, status),
        join: target => joinConnect(socket, target, head),
      });
    };
    this.server.on('connect', open);
  }

  /** Number of open tunnels. */
  get count(): number {
    return this.tunnels.size;
  }

  /** Resolves once no tunnel is open. */
  whenIdle(): Promise<void> {
    if (this.tunnels.size === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Stops listening and closes all tunnels. */
  close(): void {
    this.server.close();
    // A reset, as peers of earlier releases take a plain close for the target's.
    for (const client of this.tunnels) client.resetAndDestroy();
    this.server.closeAllConnections();
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse): void {
    if (req.method !== 'POST') {
      res.writeHead(TUNNEL_STATUS.FORBIDDEN).end();
      return;
    }
    // Listened to, as the loss of the peer would be an uncaught error.
    req.on('error', () => undefined);
    void this.open((req.url ?? '').slice(1), {
      socket: req.socket,
      refuse: status => res.writeHead(status, {'Content-Length': 0}).end(),
      join: target => joinChunked(req, res, target),
    });
  }

  private async open(address: string, client: TunnelClient): Promise<void> {
    const {socket} = client;
    this.tunnels.add(socket);
    socket.once('close', () => this.remove(socket));
    socket.on('error', () => undefined);
    const refusal = this.options.refusalFor(address);
    if (refusal !== null) {
      client.refuse(refusal);
      return;
    }
    const target = await this.options.connectTo(address);
    if (socket.destroyed) target?.destroy();
    else if (!target) client.refuse(TUNNEL_STATUS.UNREACHABLE);
    else client.join(target);
  }

  private remove(client: Socket): void {
    this.tunnels.delete(client);
    if (this.tunnels.size > 0) return;
    for (const notifyIdle of this.idleListeners.splice(0)) notifyIdle();
  }
}

function refuseConnect(client: Socket, status: TunnelStatus): void {
  const reason = http.STATUS_CODES[status] ?? '';
  client.end(`HTTP/1.1 ${status} ${reason}\r\nContent-Length: 0\r\n\r\n`);
}

function joinChunked(
  req: IncomingMessage,
  res: ServerResponse,
  target: Socket,
): void {
  const abort = (): void => void res.destroy();
  res.setTimeout(TUNNEL_IDLE_TIMEOUT_MS, abort);
  res.writeHead(TUNNEL_STATUS.OPEN);
  res.flushHeaders();
  join({readable: req, writable: res, abort}, target);
}

function joinConnect(client: Socket, target: Socket, head: Buffer): void {
  const abort = (): void => void client.resetAndDestroy();
  client.setNoDelay(true);
  client.setTimeout(TUNNEL_IDLE_TIMEOUT_MS, abort);
  client.write(`HTTP/1.1 ${TUNNEL_STATUS.OPEN} OK\r\n\r\n`);
  if (head.length > 0) target.write(head);
  join({readable: client, writable: client, abort}, target);
}

/** Both directions of a tunnel to a client; `abort` closes it as broken. */
interface TunnelEnds {
  readonly readable: NodeJS.ReadableStream;
  readonly writable: Writable;
  readonly abort: () => void;
}

/** Forwards in both directions until one side closes. */
function join({readable, writable, abort}: TunnelEnds, target: Socket): void {
  target.setNoDelay(true);
  readable.pipe(target, {end: false});
  target.pipe(writable, {end: false});
  // A client that leaves must end the work for it, and a lost connection to the
  // target must not look like its end.
  readable.once('end', () => target.destroy());
  writable.once('close', () => target.destroy());
  target.once('error', abort);
  target.once('end', () => {
    // Node.js reports a reset that follows the last bytes as a normal end.
    if (target.remoteAddress === undefined) abort();
    else writable.end();
  });
  target.once('close', () => {
    if (!target.readableEnded) abort();
  });
}
