/** State of a member in the failure detection. */
export const MEMBER_STATE = {
  ALIVE: 'alive',
  SUSPECT: 'suspect',
  LEAVING: 'leaving',
  DEAD: 'dead',
} as const;

/** Kind of an answer to a grant request; after MOVED it must be sent again. */
export const GRANT_KIND = {
  GRANTED: 'granted',
  REFUSED: 'refused',
  JOINED: 'joined',
  MOVED: 'moved',
} as const;

/** Reason of a refusal; each has its own counter. */
export const REFUSAL_REASON = {
  BAD_REQUEST: 'bad_request',
  UNAUTHORIZED: 'unauthorized',
  FORBIDDEN: 'forbidden',
  UNKNOWN_SERVICE: 'unknown_service',
  BODY_TOO_LARGE: 'body_too_large',
  NOT_READY: 'not_ready',
  SHUTTING_DOWN: 'shutting_down',
  ENTRY_OVERLOADED: 'entry_overloaded',
  QUEUE_FULL: 'queue_full',
  DEADLINE_EXPIRED: 'deadline_expired',
  DEADLINE_UNREACHABLE: 'deadline_unreachable',
  NO_UPSTREAM: 'no_upstream',
  NO_DISPATCHER: 'no_dispatcher',
  POISON_SUSPECTED: 'poison_suspected',
  PREEMPTED: 'preempted',
  RETRIES_EXHAUSTED: 'retries_exhausted',
  CLAIM_UNAVAILABLE: 'claim_unavailable',
  CLAIM_HELD: 'claim_held',
  ALREADY_RAN: 'already_ran',
  KEY_REUSED: 'key_reused',
  KEY_REQUIRED: 'key_required',
  UPSTREAM_FAILED: 'upstream_failed',
  UPSTREAM_TIMEOUT: 'upstream_timeout',
  /** Only counted: the caller has disconnected. */
  CALLER_GONE: 'caller_gone',
} as const;

/** Whether a refused request may have been executed; sent to the caller. */
export const OUTCOME = {
  NOT_RUN: 'not_run',
  MAY_HAVE_RUN: 'may_have_run',
  PARTLY_RUN: 'partly_run',
} as const;

/**
 * Placement policies. PRICED chooses the upstream with the lowest estimated
 * cost; all others are baselines for experiments.
 */
export const PLACEMENT_POLICY = {
  PRICED: 'priced',
  ROUND_ROBIN: 'round_robin',
  LEAST_LOAD: 'least_load',
  TWO_CHOICES: 'two_choices',
  PREFIX_HASH: 'prefix_hash',
  QUEUE_HEAD: 'queue_head',
} as const;

/** Health of an upstream as its dispatcher determines it. */
export const UPSTREAM_HEALTH = {
  UP: 'up',
  STRAGGLER: 'straggler',
  DOWN: 'down',
  LEAVING: 'leaving',
} as const;

/** How a granted request ended, as its entry reports it. */
export const RELEASE_KIND = {
  COMPLETED: 'completed',
  NOT_ACCEPTED: 'not_accepted',
  FAILED: 'failed',
  UPSTREAM_DIED: 'upstream_died',
  CANCELLED: 'cancelled',
} as const;

/** Interval in milliseconds of the membership probes. */
export const PROBE_INTERVAL_MS = 400;
/** Number of members that one probe round probes. */
export const PROBE_FANOUT = 4;
/** Timeout in milliseconds of one probe. */
export const PROBE_TIMEOUT_MS = 600;
/** Number of members asked to probe one that does not answer. */
export const INDIRECT_PROBES = 2;
/** Time in milliseconds for a suspected member to refute the suspicion. */
export const SUSPICION_TIMEOUT_MS = 900;
/** Time in milliseconds for which a dead member is kept and probed. */
export const DEAD_MEMBER_TTL_MS = 120_000;
/** Maximum number of membership changes in one probe. */
export const MAX_GOSSIP_ITEMS = 16;
/** Number of messages in which a member sends each membership change. */
export const GOSSIP_TRANSMISSIONS = 12;

/** Time in milliseconds that a new cell waits for members to register. */
export const REGISTRATION_TIMEOUT_MS = 500;
/** Interval in milliseconds of a cell's deadline checks. */
export const CELL_TICK_INTERVAL_MS = 50;
/** Gap in milliseconds between ticks above which a cell is rebuilt. */
export const MAX_TICK_GAP_MS = 1_000;
/** Maximum number of requests of a tier that a placement pass examines. */
export const PLACEMENT_WINDOW = 48;
/** Time in milliseconds after which an orphaned run is cancelled. */
export const ORPHAN_TTL_MS = 10_000;
/** Age in milliseconds from which a dispatcher verifies a run. */
export const MIN_VERIFY_AGE_MS = 2_000;
/** Time in milliseconds for which a verification of the runs is valid. */
export const VERIFICATION_TTL_MS = 1_000;
/** Time in milliseconds for which a run can be joined after its last use. */
export const JOINABLE_RUN_TTL_MS = 60_000;
/** Maximum number of joinable runs that a cell keeps. */
export const MAX_JOINABLE_RUNS = 4_096;

/** Weight of prefill seconds in the cost of an upstream. */
export const PREFILL_WEIGHT = 2;
/** Weight of the seconds to recompute evicted blocks in the cost. */
export const EVICTION_WEIGHT = 6;
/** Weight of decode seconds in the cost of an upstream. */
export const DECODE_WEIGHT = 0.2;
/** Weight of a new sample in the exponential average of a rate. */
export const RATE_SMOOTHING = 0.2;
/** Ratio to the smoothed token interval above which a sample is slow. */
export const SLOW_SAMPLE_FACTOR = 2;
/** Weight of a slow sample in the exponential average. */
export const SLOW_SAMPLE_SMOOTHING = 0.5;
/** Ratio to the median slowdown above which an upstream is a straggler. */
export const STRAGGLER_FACTOR = 3;
/** Slots that a straggler keeps, to measure whether it has recovered. */
export const STRAGGLER_SLOTS = 1;

/** Slack in milliseconds below which a request takes any slot or preempts. */
export const URGENT_SLACK_MS = 1_000;
/** Wait in milliseconds after which the highest tier takes any slot. */
export const TOP_TIER_ANY_SLOT_WAIT_MS = 400;
/** Wait in milliseconds after which the highest tier preempts. */
export const TOP_TIER_PREEMPT_WAIT_MS = 150;
/** Time in milliseconds for a preempted run to end before another is chosen. */
export const PREEMPTION_TIMEOUT_MS = 1_000;

/** Number of upstream deaths from which a fingerprint is refused. */
export const POISON_DEATH_THRESHOLD = 2;
/** Time in milliseconds for which a fingerprint's deaths are kept. */
export const POISON_TTL_MS = 60_000;
/** Time in milliseconds within which deaths of one upstream count once. */
export const DEATH_DEDUPLICATION_MS = 2_000;
/** Maximum number of fingerprints whose deaths are kept. */
export const MAX_POISON_FINGERPRINTS = 4_096;

/** Number of separate deaths from which a prompt part is blamed for them. */
export const MIN_CRASH_EPISODES = 3;
/** Number of contents among these; repeats of one have a fingerprint. */
export const MIN_CRASH_CONTENTS = 2;
/** Time in milliseconds within which deaths may stem from one outage. */
export const DEATH_EPISODE_MS = 100;
/** Time in milliseconds within which entries report the same death. */
export const DEATH_REPORT_SPREAD_MS = 1_000;
/** Time in milliseconds for which responses may still clear a part. */
export const DEATH_SETTLE_MS = 250;
/** Time in milliseconds for which a death without a known cause is kept. */
export const UPSTREAM_DEATH_TTL_MS = 300_000;
/** Maximum number of deaths kept. */
export const MAX_UPSTREAM_DEATHS = 64;
/** Maximum number of suspects kept per death. */
export const MAX_SUSPECTS_PER_DEATH = 64;
/** Time in milliseconds for which a new cause is in force. */
export const CRASH_CAUSE_TTL_MS = 300_000;
/** Maximum time in milliseconds for which a repeated cause is in force. */
export const MAX_CRASH_CAUSE_TTL_MS = 3_600_000;
/** Maximum number of causes kept. */
export const MAX_CRASH_CAUSES = 256;
/**
 * Time in milliseconds for which a response must go on after its first event
 * until its request is cleared of crashing its upstream.
 */
export const RESPONSE_SURVIVAL_MS = 100;

/** Characters of a prompt in one prefix block. */
export const PREFIX_BLOCK_CHARS = 512;
/** Estimated characters per token, where no tokenizer is available. */
export const CHARS_PER_TOKEN = 4;
/** Tokens in one prefix block. */
export const PREFIX_BLOCK_TOKENS = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;
/** Maximum number of prefix blocks in a grant request. */
export const MAX_PREFIX_BLOCKS = 64;

/** Number of consecutive failed polls after which an upstream is down. */
export const MAX_FAILED_POLLS = 3;
/** Interval in milliseconds of the load polls. */
export const POLL_INTERVAL_MS = 500;
/** Upper bound in seconds of a Retry-After header. */
export const MAX_RETRY_AFTER_S = 60;
