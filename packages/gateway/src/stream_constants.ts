/**
 * Time in milliseconds for which the origin of a stream is kept: longer than
 * callers wait for a stream.
 */
export const STREAM_ORIGIN_TTL_MS = 120_000;

/** Number of streams whose origins a member keeps; bounds memory. */
export const MAX_STREAM_ORIGINS = 16_384;

/**
 * Time in milliseconds for which the snapshots keep a stream that broke off:
 * callers come back within their time limits.
 */
export const BROKEN_STREAM_TTL_MS = 30_000;

/** Number of streams in a member's snapshot; bounds its size. */
export const MAX_ARCHIVED_STREAMS = 4_096;

/** Longest request id in characters of a stream that is archived. */
export const MAX_STREAM_ID_LENGTH = 128;

/** Shortest interval in milliseconds of a member's snapshots. */
export const MIN_SNAPSHOT_INTERVAL_MS = 200;

/** That interval in milliseconds while snapshots can't be stored. */
export const SNAPSHOT_RETRY_MS = 1_000;

/**
 * Snapshot interval in milliseconds per member of the cluster: limits the load of
 * the platform's store to 100 snapshots per second at any cluster size.
 */
export const SNAPSHOT_INTERVAL_PER_MEMBER_MS = 10;

/**
 * Interval in milliseconds at which an unchanged snapshot is stored again: a third
 * of the time for which the platform's store keeps it.
 */
export const SNAPSHOT_REFRESH_MS = STREAM_ORIGIN_TTL_MS / 3;

/**
 * Time in milliseconds for which a configuration may be in force before the record
 * of origins covers it: until then it is expected to.
 */
export const ORIGIN_RECORD_GRACE_MS = 2_500;

/**
 * Time in milliseconds that a resumed stream waits for a confirmation that no
 * upstream of another version has joined.
 */
export const VERSION_CONFIRMATION_TIMEOUT_MS = 700;

/**
 * Time in milliseconds that the first event of a new stream waits until it is known
 * whether its upstream has started again.
 */
export const NEW_STREAM_CONFIRMATION_TIMEOUT_MS = 60;

/**
 * Time in milliseconds that a stream which nobody knows waits for the record of
 * origins to be read, or written for the first time; below the 2 s that callers
 * wait at the least.
 */
export const ORIGIN_RECORD_TIMEOUT_MS = 1_500;

/** Number of other members that get a copy of a stream's origin. */
export const ORIGIN_COPIES = 2;

/** Number of members that are asked for the origin of a stream. */
export const ORIGIN_MEMBERS_ASKED = 5;

/** Number of keys that streams are spread over to choose these members. */
export const ORIGIN_KEY_COUNT = 64;

/** Time in milliseconds that a first event waits for a copy of the origin. */
export const ORIGIN_SHARE_TIMEOUT_MS = 60;

/** Timeout in milliseconds of asking a member for an origin. */
export const ORIGIN_LOOKUP_TIMEOUT_MS = 150;
