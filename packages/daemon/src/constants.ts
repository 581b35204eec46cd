/** Scopes of operator tokens; `write` includes `read`. */
export const OPERATOR_SCOPE = {READ: 'read', WRITE: 'write'} as const;

/** Phases of an open request: reading its body, queued, at an upstream. */
export const REQUEST_PHASE = {
  READING: 'reading',
  WAITING: 'waiting',
  RUNNING: 'running',
} as const;

/** Exit codes of the daemon; FAILED is a failed start. */
export const EXIT_CODE = {OK: 0, FAILED: 1, BAD_SETTINGS: 2} as const;

/** Number of daemons in a zone that watch the platform for the others. */
export const RELAYS_PER_ZONE = 2;
/** Time in milliseconds that the platform may hold a watch open. */
export const WATCH_WAIT_MS = 20_000;
/** Pause in milliseconds after a failed call to the platform. */
export const PLATFORM_BACKOFF_MS = 1_000;
/** Interval in milliseconds at which a daemon checks whether it is a relay. */
export const RELAY_CHECK_INTERVAL_MS = 250;

/** Time in milliseconds after which callers may retry a refused request. */
export const RETRY_AFTER_MS = 1_000;
/** Interval in milliseconds at which gauges are reported. */
export const GAUGE_INTERVAL_MS = 1_000;

/** Attempts at one request, including the first. */
export const MAX_DISPATCH_ATTEMPTS = 3;
/** Retries allowed per hundred requests. */
export const RETRY_BUDGET_PERCENT = 10;
/** Retries that are allowed however few requests there are. */
export const RETRY_BUDGET_MIN = 10;
/** Pause in milliseconds before a call to a dispatcher is repeated. */
export const DISPATCHER_BACKOFF_MS = 40;
/** Time in milliseconds for a peer to answer a call. */
export const PEER_CALL_TIMEOUT_MS = 1_000;
/**
 * Time in milliseconds for an entry to report which runs have ended, when a
 * dispatcher requests it before the regular check.
 */
export const ON_DEMAND_VERIFY_TIMEOUT_MS = 200;
/**
 * Minimum age in milliseconds of a run that is checked on demand: a younger
 * grant may not have reached its entry yet.
 */
export const ON_DEMAND_VERIFY_MIN_AGE_MS = 300;
/** Attempts to deliver a report to a dispatcher. */
export const MAX_REPORT_ATTEMPTS = 5;
/** Time in milliseconds past the deadline that an entry waits for a grant. */
export const GRANT_GRACE_MS = 1_000;

/** Time in milliseconds from the first token to the first progress report. */
export const FIRST_PROGRESS_DELAY_MS = 300;
/** Attempts to resume an interrupted stream. */
export const MAX_RESUME_ATTEMPTS = 3;
/**
 * Pause in milliseconds before the second attempt to resume a stream; each
 * further pause is longer by as much. The first attempt is made immediately.
 */
export const RESUME_BACKOFF_MS = 200;
/** Silence in milliseconds after which a stream counts as interrupted. */
export const STREAM_IDLE_TIMEOUT_MS = 15_000;
/** Largest complete response in bytes that an entry buffers. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16_777_216;

/** Time in milliseconds for another member to take the copy of a claim. */
export const CLAIM_COPY_TIMEOUT_MS = 250;
/** Number of members that are asked to keep the copy of a claim. */
export const MAX_CLAIM_COPY_ATTEMPTS = 3;
/** Age in milliseconds above which a new claim is released unused. */
export const MAX_CLAIM_AGE_MS = 10_000;
/** Time in milliseconds that a response is cached for repeated requests. */
export const CACHED_RESPONSE_TTL_MS = 600_000;
/** Maximum total size of cached responses in bytes. */
export const MAX_CACHED_RESPONSE_BYTES = 16_777_216;
/** Maximum number of claim nonces whose state is kept. */
export const MAX_CLAIM_NONCES = 65_536;
/** Interval in milliseconds at which a running claim's state is polled. */
export const CLAIM_POLL_INTERVAL_MS = 150;
/** Attempts to release a claim that may have been written. */
export const MAX_RELEASE_ATTEMPTS = 60;

/** Maximum number of request traces that an entry keeps. */
export const MAX_TRACES = 2_000;
/** Largest request body in bytes that the operator port accepts. */
export const MAX_OPERATOR_BODY_BYTES = 8_388_608;
/** Largest header section in bytes of a caller's request. */
export const MAX_HEADER_BYTES = 16_384;
/** Time in milliseconds for a caller to send its complete request. */
export const CALLER_REQUEST_TIMEOUT_MS = 60_000;

/** Time in milliseconds between two freeze checks that counts as a freeze. */
export const FREEZE_THRESHOLD_MS = 2_000;
/** Interval in milliseconds of the timer that detects freezes. */
export const FREEZE_CHECK_INTERVAL_MS = 250;
