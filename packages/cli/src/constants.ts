/** Exit codes of the command-line tool. */
export const EXIT_CODE = {
  OK: 0,
  /** The daemon could not be reached or returned an error. */
  UNREACHABLE: 1,
  /** An argument is invalid, or a file could not be read or parsed. */
  USAGE: 2,
  /** The base version is no longer the active one; read the new one first. */
  CONFLICT: 3,
  /** The patch or the configuration is not valid. */
  INVALID: 4,
  /**
   * It is unknown whether the patch was accepted; it is safe to send it again
   * with the same patch id.
   */
  UNCLEAR: 5,
  /** The token is missing or unknown, or its scope is insufficient. */
  UNAUTHORIZED: 6,
  /** The requested item does not exist. */
  NOT_FOUND: 7,
} as const;

/** Environment variables used when `--url` or `--token` is absent. */
export const ENV = {
  URL: 'FESCUESPOOL_URL',
  TOKEN: 'FESCUESPOOL_TOKEN',
} as const;

/** URL of the operator port of a daemon on this VM. */
export const DEFAULT_URL = 'http://127.0.0.1:7081';

/** URL of the metrics port of a gateway on this VM. */
export const GATEWAY_METRICS_URL = 'http://127.0.0.1:9464';

/** Time in milliseconds without data after which a call is aborted. */
export const IDLE_TIMEOUT_MS = 15_000;
