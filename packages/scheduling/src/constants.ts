/** Ends of a granted request as its entry reports them. */
export const RUN_END = {
  /** The upstream sent its complete response. */
  COMPLETED: 'completed',
  /** The upstream responded that it did not run the request. */
  REJECTED: 'rejected',
  /** Not sent, because the upstream is leaving or was removed. */
  LEAVING: 'leaving',
  /** Another upstream now uses the address. */
  REPLACED: 'replaced',
  /** The upstream responded with an error or a malformed response. */
  FAILED: 'failed',
  /** The connection broke before a response arrived. */
  BROKEN: 'broken',
  /** No connection could be established. */
  UNREACHABLE: 'unreachable',
  /** No response within the expected time. */
  SILENT: 'silent',
  /** The caller left or its deadline passed; no evidence about the upstream. */
  CANCELLED: 'cancelled',
} as const;

/** Reasons for which the queue refuses a request. */
export const QUEUE_REFUSAL = {
  /** The queue is full or the request would miss its placement deadline. */
  OVERLOADED: 'overloaded',
  /** The placement deadline passed. */
  EXPIRED: 'expired',
  /** The service has no upstream. */
  NO_UPSTREAM: 'no_upstream',
  /** No upstream has the software version that began the stream. */
  NO_VERSION: 'no_version',
  /** The retry budget of the service is spent. */
  BUDGET_SPENT: 'budget_spent',
} as const;

/** Maximum number of requests in one queue; bounds memory. */
export const MAX_WAITING = 4_000;

/**
 * Maximum number of requests that one placement pass checks, without those that
 * need a software version which has no room; bounds its time.
 */
export const PLACEMENT_WINDOW = 32;

/** Weight of a new sample in average times: adapts within about four runs. */
export const TIME_SMOOTHING_FACTOR = 0.25;

/** Weight of a new sample in the failure rate. */
export const FAILURE_SMOOTHING_FACTOR = 0.15;

/** Cost in milliseconds of a failure rate of 1: a lost response and its retry. */
export const FAILURE_COST_MS = 2_000;

/** Cost in milliseconds of an upstream outside the entry's availability zone. */
export const CROSS_ZONE_COST_MS = 3;

/**
 * Cost in milliseconds of an availability zone where a connection of the request
 * broke: a partition breaks all connections to it, and a retry is lost as well.
 */
export const AVOIDED_ZONE_COST_MS = 400;

/** Weight of the run time, relative to the start time, in an upstream's cost. */
export const RUN_TIME_WEIGHT = 0.2;

/** First backoff in milliseconds after an upstream could not be reached. */
export const INITIAL_BACKOFF_MS = 250;

/** Maximum backoff in milliseconds; restarts take a few seconds. */
export const MAX_BACKOFF_MS = 2_000;

/** Consecutive broken connections after which an upstream backs off. */
export const BREAKS_BEFORE_BACKOFF = 2;

/**
 * Time in milliseconds after a broken connection and its backoff for which an
 * upstream gets only requests that may run more than once.
 */
export const REPEATABLE_ONLY_MS = 2_000;

/** Backoff in milliseconds of an upstream that is leaving or was replaced. */
export const REPLACED_BACKOFF_MS = 5_000;

/** Time in milliseconds for which the reported load of others stays valid. */
export const REPORTED_LOAD_TTL_MS = 500;

/** Runs by which a reported load may differ while reports are in transit. */
export const LOAD_TOLERANCE = 1;

/** Time in milliseconds for which an upstream counts as full after a rejection. */
export const FULL_AFTER_REJECTION_MS = 200;

/** Multiple of the expected start time after which an upstream has stalled. */
export const STALL_FACTOR = 4;

/** Minimum time in milliseconds before an upstream counts as stalled. */
export const MIN_STALL_MS = 700;

/** Expected milliseconds to the first byte before there are samples. */
export const INITIAL_START_MS = 60;

/** Expected start time in milliseconds per prompt token, without samples. */
export const INITIAL_START_MS_PER_TOKEN = 0.02;

/** Weight of each initial point of the start time model, in samples. */
export const INITIAL_WEIGHT = 4;

/** Factor by which each new sample reduces the weight of older ones. */
export const SAMPLE_DECAY = 0.98;

/** Expected run time in milliseconds before there are samples. */
export const INITIAL_RUN_MS = 500;

/** Minimum Retry-After in milliseconds; a sooner retry meets the same queue. */
export const MIN_RETRY_AFTER_MS = 200;

/** Minimum Retry-After in milliseconds on overload; bursts last seconds. */
export const MIN_OVERLOAD_RETRY_AFTER_MS = 1_000;

/** Multiple of the expected wait that a refused caller gets as Retry-After. */
export const RETRY_AFTER_WAIT_FACTOR = 2;

/** Time in milliseconds for which a repeated refused request is recognized. */
export const REFUSED_FINGERPRINT_TTL_MS = 10_000;

/** Maximum number of refused requests that are remembered. */
export const MAX_REFUSED_FINGERPRINTS = 4_096;

/** Maximum Retry-After in milliseconds. */
export const MAX_RETRY_AFTER_MS = 5_000;

/**
 * Share of the retry budget's fixed part that the dispatcher of all members may
 * spend; the rest is for those that don't reach it.
 */
export const RETRY_EXTRA_SHARE = 0.4;

/** Share of it that all members spend together while some don't reach each other. */
export const MEMBERS_EXTRA_SHARE = 0.5;

/** Retries that a queue which opens may grant at once, before any entry lends more. */
export const OPENING_RETRIES = 1;

/**
 * Share of the retry budget's fixed part that all entries together lend to new
 * dispatchers in a window. With what one dispatcher spends it leaves room for
 * entries that start anew and lend theirs again.
 */
export const LENT_EXTRA_SHARE = 0.15;

/**
 * Share of the retry budget's fixed part that dispatchers gather from requests, one
 * retry each, which few entries use because these can't reach the first one.
 */
export const STANDBY_EXTRA_SHARE = 0.05;

/** Share of the retry budget's ratio in use; allows for differing counts. */
export const RETRY_RATIO_SHARE = 0.9;

/** Minimum age in milliseconds of a run that is dropped if not reported. */
export const MIN_RECONCILE_AGE_MS = 400;

/** Milliseconds without a message after which an entry's runs are dropped. */
export const ENTRY_TIMEOUT_MS = 2_500;

/** Share of a burst that each priority reserves for the higher ones. */
export const QUOTA_RESERVE_PER_PRIORITY = 0.2;

/**
 * Maximum number of priorities that add to the reserve, which stays below the
 * content of a new bucket.
 */
export const MAX_RESERVED_PRIORITIES = 2;

/** Largest cluster in which members may use all that a quota has left at once. */
export const MAX_UNLIMITED_MEMBERS = 4;

/**
 * Times that what a quota has left, and its refill, may be used by all members of a
 * larger cluster between two exchanges, as their callers differ in number.
 */
export const UNCONFIRMED_SHARES = 3;

/** Longest time in milliseconds for which an upstream may ask for a pause. */
export const MAX_PAUSE_MS = 600_000;

/** Maximum number of upstreams of which one gateway's pauses are remembered. */
export const MAX_PAUSED_UPSTREAMS = 1_024;

/** Maximum number of gateways whose pauses are remembered. */
export const MAX_PAUSED_GATEWAYS = 1_024;

/** Maximum number of upstreams whose rate limits are remembered. */
export const MAX_LIMITED_UPSTREAMS = 1_024;

/**
 * Time in milliseconds after which a rate limit is over if other gateways were
 * told none since; gateways that were told the limit may have stopped.
 */
export const LIMIT_SUPERSEDED_AFTER_MS = 2_000;

/**
 * Lowest rate of requests per second to a limited upstream; without requests the
 * end of its limit would not be noticed.
 */
export const MIN_RATE_PER_S = 0.1;

/** Time in milliseconds for which what an upstream said of its limit counts. */
export const LIMIT_STATEMENT_TTL_MS = 30_000;

/**
 * Share of a quota's tolerance that begun work may use beyond what is left, over all
 * members.
 */
export const BEGUN_WORK_SHARE = 0.35;

/** Share of a quota's tolerance that one member's bucket may use. */
export const QUOTA_TOLERANCE_SHARE = 0.3;

/**
 * Share of an upstream's free slots, and of the rejections that it bears, which may
 * be in use: what is known of it is somewhat old.
 */
export const BRITTLE_SHARE = 0.5;

/**
 * Time in milliseconds for which an upstream that bears few rejections gets no
 * requests after one: longer than the second in which it counts them.
 */
export const BRITTLE_PAUSE_MS = 1_100;

/**
 * Time in milliseconds after the last sign of another dispatcher for which it is
 * assumed to use the same upstreams; most partitions are over by then.
 */
export const BRITTLE_CAUTION_MS = 10_000;

/**
 * Time in milliseconds after which a granted request counts as accepted, since
 * rejections come at once.
 */
export const ACCEPTED_AFTER_MS = 100;

/**
 * Time in milliseconds after which a dispatcher's share of brittle upstreams counts
 * as free of what others had granted before.
 */
export const BRITTLE_SETTLE_MS = 3_000;

/** Rejections in a row that lengthen the wait until a share counts as free. */
export const MAX_REJECTION_STREAK = 3;

/**
 * Time in milliseconds after an entry's last message for which it is assumed to ask
 * no other dispatcher: several intervals of its reports.
 */
export const QUEUE_CONTACT_MS = 1_000;

/** Maximum number of entries whose last message is remembered. */
export const MAX_QUEUE_ENTRIES = 1_024;
