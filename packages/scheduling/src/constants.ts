/** How a granted request ended, as its entry reports it. */
export const RUN_END = {
  /** The upstream gave its whole answer. */
  COMPLETED: 'completed',
  /** The upstream said that it did not run the request. */
  REJECTED: 'rejected',
  /** Not sent: its entry knows that the upstream leaves or is gone. */
  LEAVING: 'leaving',
  /** Another upstream holds the address now. */
  REPLACED: 'replaced',
  /** The upstream answered with a failure of its own, or with broken bytes. */
  FAILED: 'failed',
  /** The connection broke before an answer came. */
  BROKEN: 'broken',
  /** No connection could be established. */
  UNREACHABLE: 'unreachable',
  /** No sign of life within the expected time. */
  SILENT: 'silent',
  /** The caller left or the time was over; says nothing about the upstream. */
  CANCELLED: 'cancelled',
} as const;

/** Why the queue gave a request up. */
export const QUEUE_REFUSAL = {
  /** The wait would outlast the caller's patience. */
  OVERLOADED: 'overloaded',
  /** The caller's patience ended in the queue. */
  EXPIRED: 'expired',
  /** No upstream of the service is known. */
  NO_UPSTREAM: 'no_upstream',
  /** The retry budget of the service is spent. */
  BUDGET_SPENT: 'budget_spent',
} as const;

/** Most requests that wait in one queue; a bound on memory. */
export const MAX_WAITING = 4_000;

/** Waiting requests that one placement pass looks at; bounds its time. */
export const PLACEMENT_WINDOW = 32;

/** Weight of a new sample in learned times: reacts within about four runs. */
export const TIME_SMOOTHING_FACTOR = 0.25;

/** Weight of a new sample in the share of failed runs. */
export const FAILURE_SMOOTHING_FACTOR = 0.15;

/** Price in milliseconds of a certain failure: a lost answer and its retry. */
export const FAILURE_COST_MS = 2_000;

/** Price in milliseconds of leaving the entry's availability zone. */
export const CROSS_ZONE_COST_MS = 3;

/**
 * Price in milliseconds of a zone where a connection of the request broke: a
 * partition breaks all of them, and a retry there is lost as well.
 */
export const AVOIDED_ZONE_COST_MS = 400;

/** Weight of the run time behind the start in the price of an upstream. */
export const RUN_TIME_WEIGHT = 0.2;

/** First pause in milliseconds after an upstream could not be reached. */
export const INITIAL_BACKOFF_MS = 250;

/** Longest such pause in milliseconds; restarts take a few seconds. */
export const MAX_BACKOFF_MS = 2_000;

/** Broken connections in a row after which an upstream gets a pause. */
export const BREAKS_BEFORE_BACKOFF = 2;

/**
 * Time in milliseconds after a broken connection and its pause for which an
 * upstream is tried with requests only that may be repeated.
 */
export const REPEATABLE_ONLY_MS = 2_000;

/** Pause in milliseconds after an upstream's address had been taken over. */
export const REPLACED_BACKOFF_MS = 5_000;

/** Time in milliseconds for which work of other dispatchers is believed. */
export const REPORTED_LOAD_TTL_MS = 500;

/** Runs by which a reported load may differ while reports are on their way. */
export const LOAD_TOLERANCE = 1;

/** Time in milliseconds for which an upstream that rejected counts as full. */
export const FULL_AFTER_REJECTION_MS = 200;

/** Multiple of the expected start after which an upstream counts as stalled. */
export const STALL_FACTOR = 4;

/** Least time in milliseconds before an upstream counts as stalled. */
export const MIN_STALL_MS = 700;

/** Expected start of a request in milliseconds before anything was learned. */
export const INITIAL_START_MS = 60;

/** Expected start time for each prompt token, before anything was learned. */
export const INITIAL_START_MS_PER_TOKEN = 0.02;

/** Weight of the initial expectations, in samples. */
export const INITIAL_WEIGHT = 4;

/** Share of the weight that older samples keep with each new one. */
export const SAMPLE_DECAY = 0.98;

/** Expected run time in milliseconds before anything was learned. */
export const INITIAL_RUN_MS = 500;

/** Shortest Retry-After in milliseconds; below it a retry meets the same queue. */
export const MIN_RETRY_AFTER_MS = 200;

/** Shortest Retry-After in milliseconds of an overload: bursts last seconds. */
export const MIN_OVERLOAD_RETRY_AFTER_MS = 1_000;

/** Multiple of the expected wait after which a refused caller comes back. */
export const RETRY_AFTER_WAIT_FACTOR = 2;

/** Time in milliseconds for which a refused caller is expected back. */
export const REFUSED_FINGERPRINT_TTL_MS = 10_000;

/** Most refused callers that are remembered. */
export const MAX_REFUSED_FINGERPRINTS = 4_096;

/** Longest Retry-After in milliseconds. */
export const MAX_RETRY_AFTER_MS = 5_000;

/**
 * Share of the retry budget's fixed part that one dispatcher may spend. Two
 * may hold a queue at once while a partition lasts.
 */
export const RETRY_EXTRA_SHARE = 0.4;

/** Share of the budget's ratio that is used, so that counts may differ. */
export const RETRY_RATIO_SHARE = 0.9;

/** Runs that an entry does not know are dropped from this age in milliseconds. */
export const MIN_RECONCILE_AGE_MS = 400;

/** Time in milliseconds without a report after which an entry's runs are dropped. */
export const ENTRY_TIMEOUT_MS = 2_500;

/** Part of a burst that each rank leaves to those above it. */
export const QUOTA_RESERVE_PER_RANK = 0.2;

/** Ranks below which the reserve grows no more: less than a new bucket holds. */
export const MAX_RESERVED_RANKS = 2;

/** Bursts that a whole fleet may use between two exchanges, at most. */
export const MAX_UNCONFIRMED_BURSTS = 4;

/** Part of a quota's tolerance that one member's bucket may use. */
export const QUOTA_TOLERANCE_SHARE = 0.3;
