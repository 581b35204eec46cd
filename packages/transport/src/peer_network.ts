import {PeerError} from '@fescuespool/coordination';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import net from 'node:net';
import type {Socket} from 'node:net';
import tls from 'node:tls';
import {CONNECT_TIMEOUT_MS} from './constants.js';
import type {PeerHandlers} from './peer_connection.js';
import {PeerConnection} from './peer_connection.js';
import type {ByteCounts, PeerAddress, TlsCredentials} from './types.js';

/** Settings of the links between daemons. */
export interface PeerNetworkOptions {
  readonly host: string;
  readonly port: number;
  /** Local address of outgoing connections. */
  readonly localAddress?: string;
  /** Reads the material of mutual TLS, where it is used. */
  readonly readTlsCredentials?: () => TlsCredentials;
}

interface Link {
  readonly address: string;
  readonly connection: Promise<PeerConnection>;
}

/** Connections from and to the other daemons. */
export class PeerNetwork {
  readonly byteCounts: ByteCounts = {sent: 0, received: 0};
  private readonly links = new Map<string, Link>();
  private readonly inbound = new Set<PeerConnection>();
  private server: net.Server | null = null;
  private handlers: PeerHandlers = {};

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Starts to accept peers; resolves with the port. */
  async listen(handlers: PeerHandlers): Promise<number> {
    this.handlers = handlers;
    const accept = (socket: Socket): void => void this.accept(socket);
    const server = this.options.readTlsCredentials
      ? tls.createServer(
          {
            ...this.options.readTlsCredentials(),
            requestCert: true,
            rejectUnauthorized: true,
          },
          accept,
        )
      : net.createServer(accept);
    this.server = server;
    server.on('tlsClientError', () => undefined);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, resolve);
    });
    return (server.address() as net.AddressInfo).port;
  }

  /** Uses new certificates for the connections that are accepted from now on. */
  setTlsCredentials(material: TlsCredentials): void {
    if (this.server instanceof tls.Server)
      this.server.setSecureContext(material);
  }

  /** Calls a method of a member; a timeout in milliseconds ends the wait. */
  async call(
    member: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => reject(new Error('timed out')), timeoutMs);
    });
    const exchange = this.link(member).then(connection =>
      connection.call(method, params),
    );
    try {
      return ok(await Promise.race([exchange, timeout]));
    } catch (e) {
      const message = e instanceof Error ? e.message : String(e);
      return err(new PeerError(member.id, message));
    } finally {
      clearTimeout(timer);
      exchange.catch(() => undefined);
    }
  }

  /** Sends a message without an answer; a failure is not reported. */
  notify(member: PeerAddress, method: string, params: unknown): void {
    this.link(member)
      .then(connection => connection.notify(method, params))
      .catch(() => undefined);
  }

  /** Closes the link to a member; waiting calls fail. */
  disconnect(memberId: string): void {
    const link = this.links.get(memberId);
    if (!link) return;
    this.links.delete(memberId);
    link.connection
      .then(connection => connection.close())
      .catch(() => undefined);
  }

  /** Closes everything. */
  close(): void {
    this.server?.close();
    for (const id of [...this.links.keys()]) this.disconnect(id);
    for (const connection of this.inbound) connection.close();
  }

  private async accept(socket: Socket): Promise<void> {
    const connection = new PeerConnection(
      socket,
      this.handlers,
      this.byteCounts,
    );
    this.inbound.add(connection);
    socket.on('error', () => undefined);
    await connection.serve();
    this.inbound.delete(connection);
  }

  private link(member: PeerAddress): Promise<PeerConnection> {
    const known = this.links.get(member.id);
    if (known?.address === member.address) return known.connection;
    if (known) this.disconnect(member.id);
    const connection = this.connect(member);
    const link = {address: member.address, connection};
    this.links.set(member.id, link);
    const forget = (): void => {
      if (this.links.get(member.id) === link) this.links.delete(member.id);
    };
    connection.then(opened => void opened.serve().then(forget), forget);
    return connection;
  }

  private async connect(member: PeerAddress): Promise<PeerConnection> {
    const separator = member.address.lastIndexOf(':');
    const host = member.address.slice(0, separator);
    const port = Number(member.address.slice(separator + 1));
    const {localAddress} = this.options;
    const socket = this.options.readTlsCredentials
      ? tls.connect({
          ...this.options.readTlsCredentials(),
          host,
          port,
          // Members are named by address; the authority vouches for them.
          checkServerIdentity: () => undefined,
        })
      : net.connect({host, port, localAddress});
    await waitForConnect(
      socket,
      this.options.readTlsCredentials ? 'secureConnect' : 'connect',
    );
    return new PeerConnection(socket, this.handlers, this.byteCounts);
  }
}

function waitForConnect(socket: Socket, event: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => socket.destroy(new Error('connection timed out')),
      CONNECT_TIMEOUT_MS,
    );
    socket.once(event, () => {
      clearTimeout(timer);
      resolve();
    });
    socket.on('error', error => {
      clearTimeout(timer);
      reject(error);
    });
  });
}
