/** Scopes of an operator's token. */
export const OPERATOR_SCOPE = {READ: 'read', WRITE: 'write'} as const;

/** Phases of an open request. */
export const REQUEST_PHASE = {
  READING: 'reading',
  WAITING: 'waiting',
  RUNNING: 'running',
} as const;

/** Exit codes of the daemon. */
export const EXIT_CODE = {OK: 0, FAILED: 1, BAD_SETTINGS: 2} as const;

/** Daemons of a zone that watch the platform. */
export const RELAYS_PER_ZONE = 2;
/** Time in milliseconds that a watch waits at the platform. */
export const WATCH_WAIT_MS = 20_000;
/** Pause in milliseconds after a failed call to the platform. */
export const PLATFORM_BACKOFF_MS = 1_000;
/** Period in milliseconds in which a daemon looks whether it is a relay. */
export const RELAY_CHECK_INTERVAL_MS = 250;

/** Time in milliseconds after which a shed request may be sent again. */
export const RETRY_AFTER_MS = 1_000;
/** Period in milliseconds of the gauges. */
export const GAUGE_INTERVAL_MS = 1_000;

/** Tries of one request, the first included. */
export const MAX_DISPATCH_ATTEMPTS = 3;
/** Retries allowed for each hundred requests. */
export const RETRY_BUDGET_PERCENT = 10;
/** Retries that are always allowed. */
export const RETRY_BUDGET_MIN = 10;
/** Pause in milliseconds before a dispatcher is asked again. */
export const DISPATCHER_BACKOFF_MS = 40;
/** Time in milliseconds for a peer to acknowledge a report. */
export const PEER_CALL_TIMEOUT_MS = 1_000;
/** Time in milliseconds for an entry to tell which runs go on. */
export const ON_DEMAND_VERIFY_TIMEOUT_MS = 200;
/** Age in milliseconds below which a grant may still be on its way. */
export const ON_DEMAND_VERIFY_MIN_AGE_MS = 300;
/** Tries of a report to a dispatcher. */
export const MAX_REPORT_ATTEMPTS = 5;
/** Time in milliseconds past the deadline that a grant is waited for. */
export const GRANT_GRACE_MS = 1_000;

/** Time in milliseconds from the first token to the first report of speed. */
export const FIRST_PROGRESS_DELAY_MS = 300;
/** Tries to resume a broken stream. */
export const MAX_RESUME_ATTEMPTS = 3;
/** Pause in milliseconds before a stream is resumed. */
export const RESUME_BACKOFF_MS = 200;
/** Longest silence in milliseconds of a stream before it counts as broken. */
export const STREAM_IDLE_TIMEOUT_MS = 15_000;
/** Largest whole answer in bytes that an entry buffers. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16_777_216;

/** Age in milliseconds above which a claim is not dispatched under. */
export const MAX_CLAIM_AGE_MS = 10_000;
/** Time in milliseconds for which an answer is kept for re-sends. */
export const CACHED_RESPONSE_TTL_MS = 600_000;
/** Most bytes of kept answers. */
export const MAX_CACHED_RESPONSE_BYTES = 16_777_216;
/** Most nonces whose state is remembered. */
export const MAX_CLAIM_NONCES = 65_536;
/** Period in milliseconds in which a running claim is asked about. */
export const CLAIM_POLL_INTERVAL_MS = 150;
/** Tries to release a claim that may have been written. */
export const MAX_RELEASE_ATTEMPTS = 60;

/** Most request traces that an entry keeps. */
export const MAX_TRACES = 2_000;
/** Largest body in bytes that the operator port reads. */
export const MAX_OPERATOR_BODY_BYTES = 8_388_608;
/** Largest request head in bytes. */
export const MAX_HEADER_BYTES = 16_384;
/** Time in milliseconds for a caller to send a whole request. */
export const CALLER_REQUEST_TIMEOUT_MS = 60_000;

/** Gap in milliseconds of the own timer that tells of a freeze. */
export const FREEZE_THRESHOLD_MS = 2_000;
/** Period in milliseconds of the timer that detects a freeze. */
export const FREEZE_CHECK_INTERVAL_MS = 250;
