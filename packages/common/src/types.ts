import type {FINDING_SEVERITY} from './constants.js';

/** Union of the values of a constant object. */
export type ValueOf<T> = T[keyof T];

/** Severity of a finding. */
export type FindingSeverity = ValueOf<typeof FINDING_SEVERITY>;

/** One fault found in an input, with the place where it stands. */
export interface Finding {
  /** Path of the faulty value, for example `services.clerk.kind`. */
  readonly place: string;
  readonly message: string;
  readonly severity: FindingSeverity;
}

/** Source of time. Monotonic time decides; wall time is only reported. */
export interface Clock {
  /** Monotonic milliseconds; keeps running while the process is stopped. */
  readonly monotonicMs: () => number;
  /** Wall-clock milliseconds since the epoch, for display only. */
  readonly wallMs: () => number;
}

/** Scalar values that a log line can carry. */
export type LogValue = string | number | boolean | null | undefined;

/** Fields of one log event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one key=value line for each event. */
export interface Logger {
  readonly debug: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
}

/** Counters, gauges and timings of a process. */
export interface Metrics {
  readonly increment: (name: string, tags?: Record<string, string>) => void;
  readonly gauge: (name: string, value: number) => void;
  /** Records a duration in milliseconds. */
  readonly timing: (name: string, ms: number) => void;
  /** Counters since the start, keyed by name and tags. */
  readonly counters: () => Readonly<Record<string, number>>;
}
