import type {ValueOf} from '@fescuespool/common';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';
import type {SecureContextOptions} from 'node:tls';
import type {CALL_ERROR_KIND, TUNNEL_STATUS} from './constants.js';

/** Whether a failed call can have reached the server. */
export type CallErrorKind = ValueOf<typeof CALL_ERROR_KIND>;

/** HTTP status with which a tunnel is opened or refused. */
export type TunnelStatus = ValueOf<typeof TUNNEL_STATUS>;

/** Certificate, private key and CA for one side of a TLS connection. */
export type TlsCredentials = Pick<SecureContextOptions, 'cert' | 'key' | 'ca'>;

/** Starts to open a TCP connection. */
export type ConnectSocket = (options: TcpNetConnectOpts) => Socket;

/** Opens a connection, which may be a tunnel; rejects if that fails. */
export type ConnectionOpener = (options: TcpNetConnectOpts) => Promise<Duplex>;

/** Bytes sent to and received from peers, for the traffic statistics. */
export interface ByteCounts {
  sent: number;
  received: number;
}

/** Identifier and listening address of a peer. */
export interface PeerAddress {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
}
