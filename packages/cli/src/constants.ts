/** Exit codes of the command-line tool. */
export const EXIT_CODE = {
  OK: 0,
  /** The daemon could not be reached or failed. */
  UNREACHABLE: 1,
  /** The arguments or files are not usable. */
  USAGE: 2,
  /** The version was replaced meanwhile; read it again. */
  CONFLICT: 3,
  /** The patch or the configuration is not valid. */
  INVALID: 4,
  /** Whether the patch was accepted is not known; send it again. */
  UNCLEAR: 5,
  /** The token is missing or its scope does not suffice. */
  UNAUTHORIZED: 6,
  /** What was asked for does not exist. */
  NOT_FOUND: 7,
} as const;

/** Environment variables that stand in for options. */
export const ENV = {
  URL: 'FESCUESPOOL_URL',
  TOKEN: 'FESCUESPOOL_TOKEN',
} as const;

/** Operator port of a daemon on this machine. */
export const DEFAULT_URL = 'http://127.0.0.1:7081';

/** Time in milliseconds for a daemon to answer. */
export const RESPONSE_TIMEOUT_MS = 15_000;
