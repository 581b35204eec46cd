/** Liveness of a member as its peers see it. */
export const MEMBER_STATE = {
  ALIVE: 'alive',
  SUSPECT: 'suspect',
  LEAVING: 'leaving',
  DEAD: 'dead',
} as const;

/** Kinds of answers to a grant request. */
export const GRANT_KIND = {
  GRANTED: 'granted',
  REFUSED: 'refused',
  JOINED: 'joined',
  MOVED: 'moved',
} as const;

/** Why a request was refused; each reason has a counter. */
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
  /** Counted, but nobody is left to be told. */
  CALLER_GONE: 'caller_gone',
} as const;

/** Whether a refused request ran; shown to the caller. */
export const OUTCOME = {
  NOT_RUN: 'not_run',
  MAY_HAVE_RUN: 'may_have_run',
  PARTLY_RUN: 'partly_run',
} as const;

/** Placement policies; all but PRICED are baselines for experiments. */
export const PLACEMENT_POLICY = {
  PRICED: 'priced',
  ROUND_ROBIN: 'round_robin',
  LEAST_LOAD: 'least_load',
  TWO_CHOICES: 'two_choices',
  PREFIX_HASH: 'prefix_hash',
  QUEUE_HEAD: 'queue_head',
} as const;

/** Health of an upstream as its dispatcher judges it. */
export const UPSTREAM_HEALTH = {
  UP: 'up',
  STRAGGLER: 'straggler',
  DOWN: 'down',
  LEAVING: 'leaving',
} as const;

/** How a granted request ended. */
export const RELEASE_KIND = {
  COMPLETED: 'completed',
  NOT_ACCEPTED: 'not_accepted',
  FAILED: 'failed',
  UPSTREAM_DIED: 'upstream_died',
  CANCELLED: 'cancelled',
} as const;

/** Period in milliseconds of the membership probes. */
export const PROBE_INTERVAL_MS = 400;
/** Members that one probe round reaches. */
export const PROBE_FANOUT = 4;
/** Time in milliseconds after which a probe has failed. */
export const PROBE_TIMEOUT_MS = 600;
/** Members that are asked to probe one that does not answer. */
export const INDIRECT_PROBES = 2;
/** Time in milliseconds in which a suspected member can refute. */
export const SUSPICION_TIMEOUT_MS = 900;
/** Time in milliseconds for which a dead member is remembered and probed. */
export const DEAD_MEMBER_TTL_MS = 120_000;
/** Most membership changes that one probe carries. */
export const MAX_GOSSIP_ITEMS = 16;
/** Probes that carry one membership change. */
export const GOSSIP_TRANSMISSIONS = 12;

/** Time in milliseconds that a new dispatcher waits for registrations. */
export const REGISTRATION_TIMEOUT_MS = 500;
/** Period in milliseconds in which a cell checks deadlines. */
export const CELL_TICK_INTERVAL_MS = 50;
/** Gap in milliseconds between checks after which a cell is rebuilt. */
export const MAX_TICK_GAP_MS = 1_000;
/** Requests of one tier that one placement pass looks at. */
export const PLACEMENT_WINDOW = 48;
/** Time in milliseconds after which an orphaned run is cancelled. */
export const ORPHAN_TTL_MS = 10_000;
/** Age in milliseconds from which a dispatcher asks whether a run goes on. */
export const MIN_VERIFY_AGE_MS = 2_000;
/** Time in milliseconds for which the runs count as verified. */
export const VERIFICATION_TTL_MS = 1_000;
/** Time in milliseconds for which a finished run can be joined. */
export const JOINABLE_RUN_TTL_MS = 60_000;
/** Most finished runs that a cell remembers. */
export const MAX_JOINABLE_RUNS = 4_096;

/** Weight of prefill seconds in the price of an upstream. */
export const PREFILL_WEIGHT = 2;
/** Weight of the recomputation that evicted blocks will cost. */
export const EVICTION_WEIGHT = 6;
/** Weight of decode seconds in the price of an upstream. */
export const DECODE_WEIGHT = 0.2;
/** Smoothing factor of measured rates. */
export const RATE_SMOOTHING = 0.2;
/** Factor above the present interval from which a sample weighs more. */
export const SLOW_SAMPLE_FACTOR = 2;
/** Smoothing factor of such a sample. */
export const SLOW_SAMPLE_SMOOTHING = 0.5;
/** Factor below its peers at which an upstream is a straggler. */
export const STRAGGLER_FACTOR = 3;
/** Slots that a straggler keeps, to be probed with. */
export const STRAGGLER_SLOTS = 1;

/** Slack in milliseconds below which a request takes the first slot. */
export const URGENT_SLACK_MS = 1_000;
/** Wait in milliseconds after which the highest tier takes any slot. */
export const TOP_TIER_ANY_SLOT_WAIT_MS = 400;
/** Wait in milliseconds after which the highest tier preempts. */
export const TOP_TIER_PREEMPT_WAIT_MS = 150;
/** Time in milliseconds that a preempted run gets to end. */
export const PREEMPTION_TIMEOUT_MS = 1_000;

/** Deaths of upstreams after which a fingerprint is refused. */
export const POISON_DEATH_THRESHOLD = 2;
/** Time in milliseconds for which a suspected fingerprint is refused. */
export const POISON_TTL_MS = 60_000;
/** Time in milliseconds in which deaths of one upstream count once. */
export const DEATH_DEDUPLICATION_MS = 2_000;
/** Most fingerprints under suspicion. */
export const MAX_POISON_FINGERPRINTS = 4_096;

/** Characters of a prompt that make one prefix block. */
export const PREFIX_BLOCK_CHARS = 512;
/** Characters that count as one token where no tokenizer is known. */
export const CHARS_PER_TOKEN = 4;
/** Tokens in one prefix block. */
export const PREFIX_BLOCK_TOKENS = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;
/** Most prefix blocks that a descriptor carries. */
export const MAX_PREFIX_BLOCKS = 64;

/** Failed polls after which an upstream counts as down. */
export const MAX_FAILED_POLLS = 3;
/** Period in milliseconds of the load polls. */
export const POLL_INTERVAL_MS = 500;
/** Upper bound in seconds of a Retry-After. */
export const MAX_RETRY_AFTER_S = 60;
