/** Whether a failed call reached the other side. */
export const CALL_ERROR_KIND = {
  /** No byte was written: the connection was never established. */
  NOT_SENT: 'not_sent',
  /** The connection broke after bytes may have been written. */
  AMBIGUOUS: 'ambiguous',
} as const;

/** Time in milliseconds for a connection to be established. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Time in milliseconds for the platform to answer. */
export const PLATFORM_TIMEOUT_MS = 1_500;

/** Connections that the client to the platform keeps open. */
export const PLATFORM_MAX_SOCKETS = 32;

/** Longest answer in bytes that is read from the platform or a load poll. */
export const MAX_RESPONSE_BYTES = 8_388_608;

/** Largest backlog in bytes towards a peer before its link is closed. */
export const MAX_PEER_BACKLOG_BYTES = 16_777_216;
