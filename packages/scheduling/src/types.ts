import type {ValueOf} from '@fescuespool/common';
import type {QUEUE_REFUSAL, RUN_END} from './constants.js';

/** How a granted request ended. */
export type RunEnd = ValueOf<typeof RUN_END>;
/** Why the queue gave a request up. */
export type QueueRefusal = ValueOf<typeof QUEUE_REFUSAL>;

/** A request that asks for an upstream. */
export interface WorkItem {
  readonly requestId: string;
  /** Member that holds the caller's connection. */
  readonly entryId: string;
  /** Availability zone of that member. */
  readonly zone: string;
  /** Rank of the request; 0 goes first. */
  readonly tier: number;
  /** Names requests with the same content, for callers that come back. */
  readonly fingerprint: string;
  readonly promptTokens: number;
  /** Time in milliseconds until the objective for the first byte passes. */
  readonly objectiveLeftMs: number;
  /** Time in milliseconds until the caller no longer waits for a start. */
  readonly patienceLeftMs: number;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether an earlier send of the same request may have arrived. */
  readonly isRetry: boolean;
  /** Instances that failed this request before. */
  readonly excluded: readonly string[];
  /** Other zones where a connection of this request broke. */
  readonly avoidedZones: readonly string[];
}

/** An upstream as the registry names it. */
export interface UpstreamSpec {
  /** Changes with each start of the upstream, mostly. */
  readonly instanceId: string;
  /** Host and port. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Start as Unix milliseconds; differs where an instance id is used again. */
  readonly startedAtUnixMs: number | null;
}

/** Load that an upstream told with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** A granted upstream. */
export interface Placement {
  readonly upstream: UpstreamSpec;
  /** Milliseconds until the first byte, as predicted. */
  readonly expectedStartMs: number;
  /** Inputs of the decision, for the log. */
  readonly waitedMs: number;
  readonly freeSlots: number;
  /** Whether its last run failed, so that it gets one run at a time. */
  readonly isOnTrial: boolean;
}

/** Answer of the queue to a request. */
export type QueueAnswer =
  | {readonly kind: 'placed'; readonly placement: Placement}
  | {
      readonly kind: 'refused';
      readonly reason: QueueRefusal;
      readonly retryAfterMs: number;
    }
  /** The queue was closed; another dispatcher has to be asked. */
  | {readonly kind: 'moved'};

/** What an entry tells when the first byte of an answer has come. */
export interface StartReport {
  readonly requestId: string;
  /** Milliseconds from the send to the first byte. */
  readonly startMs: number;
  readonly load: ReportedLoad | null;
}

/** What an entry tells when a run has ended. */
export interface EndReport {
  readonly requestId: string;
  readonly end: RunEnd;
  /** Milliseconds from the send to the end. */
  readonly runMs: number;
  /** Mean milliseconds between two events of a stream; null without. */
  readonly eventGapMs: number | null;
  readonly load: ReportedLoad | null;
}
