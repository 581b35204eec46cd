import type {FINDING_SEVERITY} from './constants.js';

/** Union of the values of an object of constants. */
export type ValueOf<T> = T[keyof T];

/** Whether a finding rejects the input or only warns. */
export type FindingSeverity = ValueOf<typeof FINDING_SEVERITY>;

/** One fault found in an input, with the path of the faulty value. */
export interface Finding {
  /** Path of the faulty value, for example `services.clerk.kind`. */
  readonly place: string;
  readonly message: string;
  readonly severity: FindingSeverity;
}

/** Source of time. Decisions use monotonic time; wall time is only reported. */
export interface Clock {
  /** Monotonic milliseconds; advances while the process is stopped. */
  readonly monotonicMs: () => number;
  /** Wall-clock milliseconds since the epoch, for display only. */
  readonly wallMs: () => number;
}

/** Scalar values that a log line can carry. */
export type LogValue = string | number | boolean | null | undefined;

/** Fields of one log event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one line of key=value pairs for each event. */
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
  /** Counters since the start of the process, keyed by name and tags. */
  readonly counters: () => Readonly<Record<string, number>>;
}
