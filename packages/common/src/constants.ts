/** Severity of a finding: errors reject the input, warnings do not. */
export const FINDING_SEVERITY = {
  ERROR: 'error',
  WARNING: 'warning',
} as const;

/** Log levels, least severe first. */
export const LOG_LEVEL = {
  DEBUG: 'debug',
  INFO: 'info',
  WARN: 'warn',
  ERROR: 'error',
} as const;

/** Milliseconds in a second. */
export const MS_PER_SECOND = 1_000;

/** Prefix of the metric names that are sent to the StatsD collector. */
export const METRIC_PREFIX = 'fescuespool.';

/** Maximum number of distinct counters in the statistics of a process. */
export const MAX_COUNTER_KEYS = 2_000;

/** Number of findings that the message of an error names. */
export const MAX_NAMED_FINDINGS = 16;
