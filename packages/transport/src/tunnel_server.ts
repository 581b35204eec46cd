import http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
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

/**
 * Forwards connections for peers that can't reach an address themselves: an HTTP
 * server that knows only the CONNECT method.
 */
export class TunnelServer {
  /** The HTTP server; the caller starts and closes it. */
  readonly server = http.createServer((_req, res) =>
    res.writeHead(TUNNEL_STATUS.FORBIDDEN).end(),
  );
  private readonly tunnels = new Set<Socket>();
  private readonly idleListeners: Array<() => void> = [];

  constructor(private readonly options: TunnelServerOptions) {
    // The declared type is that of any stream, but an HTTP server has sockets.
    const open = (req: IncomingMessage, socket: Duplex, head: Buffer): void =>
      void this.open(req.url ?? '', socket as Socket, head);
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
    this.server.closeAllConnections();
    for (const client of this.tunnels) client.destroy();
  }

  private async open(
    address: string,
    client: Socket,
    head: Buffer,
  ): Promise<void> {
    this.tunnels.add(client);
    client.once('close', () => this.remove(client));
    client.on('error', () => undefined);
    const refusal = this.options.refusalFor(address);
    if (refusal !== null) {
      refuse(client, refusal);
      return;
    }
    const target = await this.options.connectTo(address);
    if (client.destroyed) target?.destroy();
    else if (!target) refuse(client, TUNNEL_STATUS.UNREACHABLE);
    else join(client, target, head);
  }

  private remove(client: Socket): void {
    this.tunnels.delete(client);
    if (this.tunnels.size > 0) return;
    for (const notifyIdle of this.idleListeners.splice(0)) notifyIdle();
  }
}

function refuse(client: Socket, status: TunnelStatus): void {
  const reason = http.STATUS_CODES[status] ?? '';
  client.end(`HTTP/1.1 ${status} ${reason}\r\nContent-Length: 0\r\n\r\n`);
}

/** Forwards in both directions until one side closes. */
function join(client: Socket, target: Socket, head: Buffer): void {
  for (const socket of [client, target]) socket.setNoDelay(true);
  client.setTimeout(TUNNEL_IDLE_TIMEOUT_MS, () => client.destroy());
  client.write(`HTTP/1.1 ${TUNNEL_STATUS.OPEN} OK\r\n\r\n`);
  if (head.length > 0) target.write(head);
  client.pipe(target, {end: false});
  target.pipe(client, {end: false});
  // A client that leaves must end the work for it, and a lost connection to the
  // target must not look like its end.
  client.once('end', () => target.destroy());
  client.once('close', () => target.destroy());
  target.once('error', () => client.resetAndDestroy());
  target.once('end', () => {
    // Node.js reports a reset that follows the last bytes as a normal end.
    if (target.remoteAddress === undefined) client.resetAndDestroy();
    else client.end();
  });
  target.once('close', () => {
    if (!target.readableEnded) client.resetAndDestroy();
  });
}
