/** Whether a failed call can have reached the server. */
export const CALL_ERROR_KIND = {
  /** No byte was written: the connection was never established. */
  NOT_SENT: 'not_sent',
  /** No byte was written: the URL, the path or a header is invalid. */
  UNSENDABLE: 'unsendable',
  /** The connection broke after bytes may have been written. */
  AMBIGUOUS: 'ambiguous',
} as const;

/** Timeout in milliseconds for establishing a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout in milliseconds for a response of the platform. */
export const PLATFORM_TIMEOUT_MS = 1_500;

/** Maximum number of connections from a client to the platform. */
export const PLATFORM_MAX_SOCKETS = 32;

/** Maximum size in bytes of a response to a platform call or a load poll. */
export const MAX_RESPONSE_BYTES = 8_388_608;

/** Unsent bytes to a peer above which its connection is closed. */
export const MAX_PEER_BACKLOG_BYTES = 16_777_216;

/** HTTP statuses with which a tunnel is opened or refused. */
export const TUNNEL_STATUS = {
  OPEN: 200,
  /** The target is not one to which tunnels are permitted. */
  FORBIDDEN: 403,
  /** This member sends nothing to the target at the moment. */
  DECLINED: 409,
  /** The target can't be reached from here either. */
  UNREACHABLE: 502,
  /** This member can't help at the moment. */
  UNAVAILABLE: 503,
} as const;

/** Time in milliseconds without data after which a tunnel is closed. */
export const TUNNEL_IDLE_TIMEOUT_MS = 60_000;
