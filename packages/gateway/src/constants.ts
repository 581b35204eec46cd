/** What may be repeated of a route's requests. */
export const ROUTE_KIND = {
  /** May run more than once. */
  IDEMPOTENT: 'idempotent',
  /** Runs at most once. */
  NON_IDEMPOTENT: 'non_idempotent',
  /** Answers with events; may be repeated only where it can be resumed. */
  STREAM: 'stream',
} as const;

/** Why the gateway refuses a request; each reason has a counter. */
export const GATEWAY_REFUSAL = {
  NOT_CONFIGURED: 'not_configured',
  STOPPING: 'stopping',
  NO_ROUTE: 'no_route',
  BAD_REQUEST: 'bad_request',
  BODY_TOO_LARGE: 'body_too_large',
  UNKNOWN_KEY: 'unknown_key',
  /** The configuration is too old to tell whether the key still holds. */
  STALE_CONFIG: 'stale_config',
  QUOTA_EXCEEDED: 'quota_exceeded',
  /** Upstreams died with such a request in flight. */
  CRASH_SUSPECTED: 'crash_suspected',
  OVERLOADED: 'overloaded',
  EXPIRED: 'expired',
  NO_UPSTREAM: 'no_upstream',
  BUDGET_SPENT: 'budget_spent',
  NOT_ACCEPTED: 'not_accepted',
  /** The answer broke off or was not one; the request may have run. */
  UPSTREAM_FAILED: 'upstream_failed',
  /** The time was over before the answer; the request may have run. */
  UPSTREAM_TIMEOUT: 'upstream_timeout',
} as const;

/** Status of each reason; 429 and 503 promise that the request did not run. */
export const REFUSAL_STATUS = {
  not_configured: 503,
  stopping: 503,
  no_route: 404,
  bad_request: 400,
  body_too_large: 413,
  unknown_key: 401,
  stale_config: 503,
  quota_exceeded: 429,
  crash_suspected: 503,
  overloaded: 503,
  expired: 503,
  no_upstream: 503,
  budget_spent: 503,
  not_accepted: 503,
  upstream_failed: 502,
  upstream_timeout: 504,
} as const;

/** Methods of the protocol between gateways. */
export const GATEWAY_METHOD = {
  PING: 'gateway.ping',
  GRANT: 'gateway.grant',
  CANCEL: 'gateway.cancel',
  STARTED: 'gateway.started',
  ENDED: 'gateway.ended',
  REPORT: 'gateway.report',
  USAGE: 'gateway.usage',
  DEATH: 'gateway.death',
} as const;

/** Period in milliseconds in which queues look at expired requests. */
export const QUEUE_TICK_MS = 25;

/** Gap in milliseconds between two ticks after which a queue is rebuilt. */
export const MAX_QUEUE_TICK_GAP_MS = 600;

/** Silence in milliseconds after which a dispatcher with our waits is pinged. */
export const PING_AFTER_SILENCE_MS = 40;

/** Time in milliseconds for a ping's answer; a stall of the VM may last 100. */
export const PING_TIMEOUT_MS = 110;

/** Extra delay in milliseconds of a timer that tells a stall of this process. */
export const PROCESS_STALL_THRESHOLD_MS = 60;

/** Period in milliseconds in which a silent dispatcher is tried again. */
export const SUSPECT_PING_PERIOD_MS = 300;

/** Time in milliseconds for the answer to such a trial. */
export const SUSPECT_PING_TIMEOUT_MS = 250;

/** Period in milliseconds of the reports of running requests. */
export const RUN_REPORT_PERIOD_MS = 300;

/** Shortest period in milliseconds of the exchange of usage. */
export const MIN_USAGE_PERIOD_MS = 100;

/** Period in milliseconds for each member: bounds the hub's work to 250 a second. */
export const USAGE_PERIOD_PER_MEMBER_MS = 4;

/** Time in milliseconds for the answer to a usage report. */
export const USAGE_TIMEOUT_MS = 250;

/** Time in milliseconds without an answer after which quotas are split. */
export const USAGE_SILENCE_TIMEOUT_MS = 1_200;

/**
 * Time in milliseconds in which members turn to a new hub: a timeout, and twice
 * the period of the exchange with 40 members.
 */
export const USAGE_HUB_FAILOVER_MS = 600;

/** Longest wait in milliseconds for the answer to a grant request. */
export const GRANT_CALL_TIMEOUT_MS = 60_000;

/** Name under which the usage hub is assigned. */
export const USAGE_HUB_KEY = 'usage-hub';

/** Time in milliseconds for a connection to an upstream. */
export const UPSTREAM_CONNECT_TIMEOUT_MS = 250;

/** Upstreams of a zone that are tried to tell a death from a partition. */
export const MAX_ZONE_PROBES = 3;

/** Time in milliseconds for the connection that tells whether it lives. */
export const LIVENESS_PROBE_TIMEOUT_MS = 300;

/**
 * Time in milliseconds for which an idle connection is used again, where the
 * upstream names no shorter one.
 */
export const UPSTREAM_IDLE_TIMEOUT_MS = 8_000;

/** Idle connections kept to one upstream. */
export const MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 3;

/** Largest answer in bytes that is held back until it is whole. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16_777_216;

/** Largest event in bytes of a stream. */
export const MAX_EVENT_BYTES = 262_144;

/** Sends that upstreams may reject before the request is refused. */
export const MAX_REJECTED_SENDS = 8;

/** Pause in milliseconds before a request goes to a queue that moved. */
export const MOVED_RETRY_DELAY_MS = 5;

/** Time in milliseconds before its timeout at which an answer is given up. */
export const TIMEOUT_MARGIN_MS = 20;

/** Multiple of the expected start after which a repeatable send is given up. */
export const START_TIMEOUT_FACTOR = 5;

/** Least such time in milliseconds for a stream. */
export const MIN_STREAM_START_TIMEOUT_MS = 900;

/** Least such time in milliseconds for another call. */
export const MIN_CALL_START_TIMEOUT_MS = 250;

/** Silence in milliseconds in a resumable stream after which it is resumed. */
export const STREAM_EVENT_TIMEOUT_MS = 1_200;

/** Retry-After in milliseconds while the configuration is missing or old. */
export const NOT_READY_RETRY_AFTER_MS = 500;

/** Time in milliseconds for which a new process holds requests back. */
export const MAX_STARTUP_WAIT_MS = 1_500;

/** Upstreams that are remembered as gone; a day replaces far fewer. */
export const MAX_REMOVED_UPSTREAMS = 4_096;

/** Margin in milliseconds by which a configuration counts as old early. */
export const CONFIG_AGE_MARGIN_MS = 300;

/** Time in milliseconds after the signal in which new requests still come. */
export const DEREGISTRATION_DELAY_MS = 2_600;

/** Time in milliseconds kept between the last answer and the forced end. */
export const STOP_MARGIN_MS = 500;

/** Requests that a gateway holds at once; a bound on memory. */
export const MAX_OPEN_REQUESTS = 4_000;

/** Longest head of a request in bytes, before the configured limit is known. */
export const MAX_HEADER_BYTES = 65_536;
