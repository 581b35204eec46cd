/** Whether and how the requests of a route may be repeated. */
export const ROUTE_KIND = {
  /** May run more than once. */
  IDEMPOTENT: 'idempotent',
  /** Runs at most once. */
  NON_IDEMPOTENT: 'non_idempotent',
  /** Responds with an event stream; may be repeated only if it is resumable. */
  STREAM: 'stream',
} as const;

/** Reasons for refusing a request; each is counted in the metrics. */
export const GATEWAY_REFUSAL = {
  NOT_CONFIGURED: 'not_configured',
  STOPPING: 'stopping',
  NO_ROUTE: 'no_route',
  BAD_REQUEST: 'bad_request',
  BODY_TOO_LARGE: 'body_too_large',
  UNKNOWN_KEY: 'unknown_key',
  /** The configuration is too old to decide whether the key is still valid. */
  STALE_CONFIG: 'stale_config',
  QUOTA_EXCEEDED: 'quota_exceeded',
  /** Upstreams died while running the same content or the same prompt part. */
  CRASH_SUSPECTED: 'crash_suspected',
  OVERLOADED: 'overloaded',
  EXPIRED: 'expired',
  NO_UPSTREAM: 'no_upstream',
  BUDGET_SPENT: 'budget_spent',
  NOT_ACCEPTED: 'not_accepted',
  /**
   * Where the stream began is not known, or no upstream of that software version
   * is left.
   */
  STREAM_NOT_RESUMABLE: 'stream_not_resumable',
  /** The response was incomplete or invalid; the request may have run. */
  UPSTREAM_FAILED: 'upstream_failed',
  /** The time limit passed before the response; the request may have run. */
  UPSTREAM_TIMEOUT: 'upstream_timeout',
} as const;

/**
 * HTTP status of each refusal reason. 429 and 503 guarantee that the request
 * did not run.
 */
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
  stream_not_resumable: 503,
  upstream_failed: 502,
  upstream_timeout: 504,
} as const;

/**
 * Longest request id in characters that is accepted. Gateways take 256 from one
 * another, and a search for another upstream adds to the id.
 */
export const MAX_REQUEST_ID_LENGTH = 200;

/** JSON-RPC methods between gateways. */
export const GATEWAY_METHOD = {
  PING: 'gateway.ping',
  GRANT: 'gateway.grant',
  CANCEL: 'gateway.cancel',
  STARTED: 'gateway.started',
  ENDED: 'gateway.ended',
  REPORT: 'gateway.report',
  USAGE: 'gateway.usage',
  DEATH: 'gateway.death',
  PARTS_CLEARED: 'gateway.parts_cleared',
  CRASH_CAUSES_FOUND: 'gateway.crash_causes_found',
  CRASH_CAUSES: 'gateway.crash_causes',
  STREAM_BEGAN: 'gateway.stream_began',
  STREAM_ORIGIN: 'gateway.stream_origin',
  UPSTREAM_NOTICE: 'gateway.upstream_notice',
  PREVIEW: 'gateway.preview',
} as const;

/** Interval in milliseconds at which a member asks another for crash causes. */
export const CRASH_CAUSE_PULL_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of that call. */
export const CRASH_CAUSE_PULL_TIMEOUT_MS = 500;

/**
 * Timeout in milliseconds of asking an upstream when it started: sound ones may be
 * silent for a second.
 */
export const LIFE_CHECK_TIMEOUT_MS = 1_500;

/** Largest response in bytes to that question. */
export const MAX_LIFE_RESPONSE_BYTES = 262_144;

/** Interval in milliseconds at which queues check for expired requests. */
export const QUEUE_TICK_INTERVAL_MS = 25;

/**
 * Gap in milliseconds between two ticks from which on the process counts as
 * suspended: its queues are discarded and rebuilt from the entries' reports.
 */
export const MAX_QUEUE_TICK_GAP_MS = 600;

/**
 * Longest such gap in milliseconds after which a member goes on with its retry
 * budgets: after a longer one, others may have dropped it from their lists and
 * taken its place.
 */
export const MAX_KEPT_BUDGET_GAP_MS = 3_000;

/**
 * Silence in milliseconds after which a member is pinged while requests wait
 * for it; also the interval of that check.
 */
export const PING_AFTER_SILENCE_MS = 40;

/** Ping timeout in milliseconds; above the 100 that a VM stall may last. */
export const PING_TIMEOUT_MS = 110;

/** Extra timer delay in milliseconds that indicates a stall of this process. */
export const PROCESS_STALL_THRESHOLD_MS = 60;

/** Interval in milliseconds at which suspected members are pinged. */
export const SUSPECT_PING_INTERVAL_MS = 300;

/** Timeout in milliseconds of a ping to a suspected member. */
export const SUSPECT_PING_TIMEOUT_MS = 250;

/** Interval in milliseconds of an entry's reports of its running requests. */
export const RUN_REPORT_INTERVAL_MS = 300;

/** Shortest interval in milliseconds of a member's usage reports. */
export const MIN_USAGE_REPORT_INTERVAL_MS = 100;

/**
 * Usage report interval in milliseconds per member of the cluster: limits the
 * hub's load to 250 reports per second at any cluster size.
 */
export const USAGE_REPORT_INTERVAL_PER_MEMBER_MS = 4;

/** Timeout in milliseconds of a usage report. */
export const USAGE_REPORT_TIMEOUT_MS = 250;

/**
 * Time in milliseconds without a usage exchange after which a member without a
 * hub keeps to its share of each quota, and the hub no longer counts a member.
 */
export const USAGE_SILENCE_TIMEOUT_MS = 1_200;

/**
 * Time in milliseconds within which all members report to a new hub: one
 * timeout plus twice the report interval of a 40-member cluster.
 */
export const USAGE_HUB_FAILOVER_MS = 600;

/**
 * Timeout in milliseconds of a grant request, including the time in the queue.
 */
export const GRANT_CALL_TIMEOUT_MS = 60_000;

/** Key whose owner is the usage hub. */
export const USAGE_HUB_KEY = 'usage-hub';

/** Timeout in milliseconds for connecting to an upstream. */
export const UPSTREAM_CONNECT_TIMEOUT_MS = 250;

/**
 * Timeout in milliseconds for a connection to an upstream on any path: up to three
 * neighbours are asked, and the direct path is tried before or after that.
 */
export const ANY_PATH_TIMEOUT_MS = 700;

/** Timeout in milliseconds of asking neighbours for a tunnel. */
export const TUNNEL_TIMEOUT_MS = 220;

/** Timeout in milliseconds for connecting to an upstream for a neighbour. */
export const TUNNELLED_CONNECT_TIMEOUT_MS = 150;

/**
 * Time in milliseconds without a connection after which neighbours are asked for
 * a tunnel too; most connections take a few.
 */
export const SLOW_CONNECT_MS = 100;

/**
 * Time in milliseconds for which a new connection shows that this gateway is not
 * cut off.
 */
export const SOUND_PATH_MS = 300;

/** Number of neighbours that can't reach an upstream either and settle it. */
export const ENOUGH_UNREACHABLE = 2;

/** Time in milliseconds after which the next neighbour is asked too. */
export const TUNNEL_HEDGE_MS = 50;

/** Number of neighbours that are asked for a tunnel. */
export const MAX_TUNNEL_ATTEMPTS = 3;

/** Time in milliseconds for which a neighbour that could not help is not asked. */
export const NEIGHBOUR_AVOIDED_MS = 1_000;

/** Number of such neighbours that are remembered. */
export const MAX_AVOIDED_NEIGHBOURS = 512;

/** Number of tunnels that a gateway keeps open for others; bounds memory. */
export const MAX_TUNNELS = 1_024;

/** Number of lost paths without a working one that mean a cut from all. */
export const MIN_LOST_UPSTREAMS = 2;

/** Interval in milliseconds at which lost paths are tried again. */
export const PATH_PROBE_INTERVAL_MS = 300;

/** Number of lost paths that are tried at once. */
export const MAX_LOST_PATH_PROBES = 4;

/**
 * Number of other upstreams in a zone that are probed to distinguish the death
 * of an upstream from a network partition.
 */
export const MAX_ZONE_PROBES = 3;

/**
 * Time in milliseconds for which an idle upstream connection may be reused,
 * unless the upstream announces a shorter one.
 */
export const UPSTREAM_IDLE_TIMEOUT_MS = 8_000;

/** Number of idle connections kept open per upstream. */
export const MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 3;

/** Largest response in bytes that is buffered until it is complete. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16_777_216;

/** Share of the memory limit that all bodies and responses may hold together. */
export const CALLER_BUDGET_SHARE = 0.2;

/** Memory limit in megabytes of settings that give none. */
export const DEFAULT_MEMORY_LIMIT_MB = 512;

/** Bytes of a rejection's body that are read to keep its connection. */
export const MAX_DISCARDED_BYTES = 65_536;

/** Time in milliseconds for which a rejection's body is read. */
export const MAX_DISCARD_MS = 1_000;

/** Largest event of a stream in bytes. */
export const MAX_EVENT_BYTES = 262_144;

/**
 * Most chunks of an event. Each costs processor time, however small it is, for
 * which all other requests wait.
 */
export const MAX_EVENT_CHUNKS = 16_384;

/** Most chunks of a response that is buffered. */
export const MAX_BUFFERED_CHUNKS = 65_536;

/** Most chunks of a rejection's body that are read to keep its connection. */
export const MAX_DISCARDED_CHUNKS = 1_024;

/** Number of sends that upstreams may reject before the request is refused. */
export const MAX_REJECTED_SENDS = 8;

/** Delay in milliseconds before asking the new owner of a queue that moved. */
export const MOVED_RETRY_DELAY_MS = 5;

/** Time in milliseconds before its timeout at which a request is abandoned. */
export const TIMEOUT_MARGIN_MS = 20;

/**
 * Multiple of the expected time to the response start after which a repeatable
 * send is abandoned.
 */
export const START_TIMEOUT_FACTOR = 5;

/** Lower bound in milliseconds of the start timeout of a stream. */
export const MIN_STREAM_START_TIMEOUT_MS = 900;

/** Lower bound in milliseconds of the start timeout of a non-streaming call. */
export const MIN_CALL_START_TIMEOUT_MS = 250;

/**
 * Shortest time in milliseconds without an event after which a resumable stream
 * is resumed at another upstream.
 */
export const MIN_STREAM_EVENT_TIMEOUT_MS = 1_200;

/** That time as a multiple of the longest gap that the route accepts. */
export const EVENT_GAP_TIMEOUT_FACTOR = 3;

/**
 * Retry-After in milliseconds while the configuration is missing or stale, or
 * MAX_OPEN_REQUESTS is reached.
 */
export const NOT_READY_RETRY_AFTER_MS = 500;

/**
 * Longest time in milliseconds for which requests wait until a new process has
 * loaded its configuration and upstreams.
 */
export const MAX_STARTUP_WAIT_MS = 1_500;

/**
 * Number of removed upstreams remembered; far more than are replaced in a day.
 */
export const MAX_REMOVED_UPSTREAMS = 4_096;

/** Number of upstreams that a grant request may exclude. */
export const MAX_EXCLUDED_UPSTREAMS = 64;

/**
 * Time in milliseconds by which a pause that an upstream asks for must be longer
 * than known to be reported at once.
 */
export const MIN_PAUSE_CHANGE_MS = 100;

/**
 * First time in milliseconds to wait after a grant was returned because its
 * upstream is paused; it doubles, as the dispatcher may not know of pauses.
 */
export const PAUSED_GRANT_DELAY_MS = 25;

/** Number of upstreams that one run report names as leaving. */
export const MAX_LEAVING_REPORTED = 1_024;

/** Number of lives of upstreams remembered that said they leave. */
export const MAX_LEAVING_TOLD = 4_096;

/**
 * Number of notices remembered that neighbours got about upstreams at the ends of
 * their tunnels.
 */
export const MAX_NEIGHBOUR_NOTICES = 4_096;

/** Number of times that such a notice is sent until the neighbour confirms it. */
export const NEIGHBOUR_NOTICE_ATTEMPTS = 4;

/** Timeout in milliseconds of one such attempt. */
export const NEIGHBOUR_NOTICE_TIMEOUT_MS = 250;

/** Time in milliseconds between two attempts. */
export const NEIGHBOUR_NOTICE_RETRY_MS = 100;

/**
 * Time in milliseconds before its maximum age at which a configuration is
 * stale.
 */
export const CONFIG_AGE_MARGIN_MS = 300;

/** Number of requests a gateway holds at once; limits its memory use. */
export const MAX_OPEN_REQUESTS = 4_000;

/** Largest request head in bytes; set before the configuration is known. */
export const MAX_HEADER_BYTES = 65_536;

/**
 * Time in milliseconds that idle connections are kept beyond their limit, for
 * requests that are on their way.
 */
export const IDLE_CLOSE_MARGIN_MS = 1_000;

/** Maximum number of prompt parts of one request that are considered. */
export const MAX_PROMPT_PARTS = 64;

/** Maximum number of keys whose ranking of the members is remembered. */
export const MAX_RANKED_KEYS = 2_048;
