import type {ValueOf} from '@fescuespool/common';
import type {SecureContextOptions} from 'node:tls';
import type {CALL_ERROR_KIND} from './constants.js';

/** Whether a failed call reached the other side. */
export type CallErrorKind = ValueOf<typeof CALL_ERROR_KIND>;

/** Certificate, key and authority for one side of a TLS connection. */
export type TlsCredentials = Pick<SecureContextOptions, 'cert' | 'key' | 'ca'>;

/** Bytes counted at the sockets of a process. */
export interface ByteCounts {
  sent: number;
  received: number;
}

/** Where a peer listens. */
export interface PeerAddress {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
}
