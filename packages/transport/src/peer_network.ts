import {PeerError} from '@fescuespool/coordination';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import net from 'node:net';
import type {Socket} from 'node:net';
import tls from 'node:tls';
import {CONNECT_TIMEOUT_MS} from './constants.js';
import type {PeerHandlers, PendingBytes} from './peer_connection.js';
import {PeerConnection} from './peer_connection.js';
import type {ByteCounts, PeerAddress, TlsCredentials} from './types.js';

/** Addresses and TLS credentials of the connections between daemons. */
export interface PeerNetworkOptions {
  readonly host: string;
  readonly port: number;
  /** Local address of outgoing connections. */
  readonly localAddress?: string;
  /** Reads the credentials of mutual TLS; absent without TLS. */
  readonly readTlsCredentials?: () => TlsCredentials;
}

interface OutboundConnection {
  readonly address: string;
  readonly connection: Promise<PeerConnection>;
}

/** Connections from and to the other daemons. */
export class PeerNetwork {
  readonly byteCounts: ByteCounts = {sent: 0, received: 0};
  private readonly outbound = new Map<string, OutboundConnection>();
  private readonly inbound = new Set<PeerConnection>();
  /** Bytes of lines that peers have begun. */
  private readonly pending: PendingBytes = {total: 0};
  private server: net.Server | null = null;
  private handlers: PeerHandlers = {};

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Starts to accept peers; resolves with the port or rejects on an error. */
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

  /** Uses new credentials for connections that are accepted from now on. */
  setTlsCredentials(credentials: TlsCredentials): void {
    if (this.server instanceof tls.Server)
      this.server.setSecureContext(credentials);
  }

  /**
   * Calls a method of a peer; returns a PeerError if the call fails or takes
   * longer than `timeoutMs`.
   */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => reject(new Error('call timed out')), timeoutMs);
    });
    const answer = this.connectionTo(peer).then(connection =>
      connection.call(method, params),
    );
    try {
      return ok(await Promise.race([answer, timeout]));
    } catch (e) {
      const message = e instanceof Error ? e.message : String(e);
      return err(new PeerError(peer.id, message));
    } finally {
      clearTimeout(timer);
      answer.catch(() => undefined);
    }
  }

  /** Sends a notification to a peer; a failure is not reported. */
  notify(peer: PeerAddress, method: string, params: unknown): void {
    this.connectionTo(peer)
      .then(connection => connection.notify(method, params))
      .catch(() => undefined);
  }

  /** Closes the outbound connection to a peer; its pending calls fail. */
  disconnect(peerId: string): void {
    const outbound = this.outbound.get(peerId);
    if (!outbound) return;
    this.outbound.delete(peerId);
    outbound.connection
      .then(connection => connection.close())
      .catch(() => undefined);
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.server?.close();
    for (const id of [...this.outbound.keys()]) this.disconnect(id);
    for (const connection of this.inbound) connection.close();
  }

  private async accept(socket: Socket): Promise<void> {
    const connection = new PeerConnection(
      socket,
      this.handlers,
      this.byteCounts,
      this.pending,
    );
    this.inbound.add(connection);
    socket.on('error', () => undefined);
    await connection.serve();
    this.inbound.delete(connection);
  }

  private connectionTo(peer: PeerAddress): Promise<PeerConnection> {
    const existing = this.outbound.get(peer.id);
    if (existing?.address === peer.address) return existing.connection;
    if (existing) this.disconnect(peer.id);
    const connection = this.connect(peer);
    const added = {address: peer.address, connection};
    this.outbound.set(peer.id, added);
    const removeAdded = (): void => {
      if (this.outbound.get(peer.id) === added) this.outbound.delete(peer.id);
    };
    connection.then(
      opened => void opened.serve().then(removeAdded),
      removeAdded,
    );
    return connection;
  }

  private async connect(peer: PeerAddress): Promise<PeerConnection> {
    const separator = peer.address.lastIndexOf(':');
    const host = peer.address.slice(0, separator);
    const port = Number(peer.address.slice(separator + 1));
    const {localAddress} = this.options;
    const socket = this.options.readTlsCredentials
      ? tls.connect({
          ...this.options.readTlsCredentials(),
          host,
          port,
          // Peers are identified by address, so the host name is not checked;
          // the CA that signed their certificates authenticates them.
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
