import type {ValueOf} from '@fescuespool/common';
import type {QUEUE_REFUSAL, RUN_END} from './constants.js';

/** Reported end of a granted request. */
export type RunEnd = ValueOf<typeof RUN_END>;
/** Reason for which the queue refused a request. */
export type QueueRefusal = ValueOf<typeof QUEUE_REFUSAL>;

/** What an entry sends to the owner of a queue to obtain an upstream. */
export interface GrantRequest {
  readonly requestId: string;
  /** Member that holds the caller's connection. */
  readonly entryId: string;
  /** Availability zone of that member. */
  readonly zone: string;
  /** Tier of the request; 0 is the highest. */
  readonly tier: number;
  /** Equal for requests with the same content; identifies a repeated request. */
  readonly fingerprint: string;
  readonly promptTokens: number;
  /** Milliseconds left until the objective for the first byte is missed. */
  readonly objectiveLeftMs: number;
  /** Milliseconds left until the caller stops waiting for the first byte. */
  readonly patienceLeftMs: number;
  /** Milliseconds left of its time limit; null from gateways that don't tell. */
  readonly timeLeftMs: number | null;
  /** Whether the request may safely run more than once. */
  readonly isRepeatable: boolean;
  /** Whether an earlier send of this request may have reached an upstream. */
  readonly isRetry: boolean;
  /** Whether its entry has asked a dispatcher for an upstream for it before. */
  readonly isAskedAgain: boolean;
  /** Whether the entry lends its part of the retry budget to this dispatcher. */
  readonly lendsRetries: boolean;
  /** Instance ids of upstreams where this request failed before. */
  readonly excluded: readonly string[];
  /** Other availability zones where a connection of this request broke. */
  readonly avoidedZones: readonly string[];
  /**
   * Software version that began the stream to go on with; null for a request
   * that any upstream may run.
   */
  readonly requiredVersion: string | null;
  /** Name of the route; null from gateways that don't tell it. */
  readonly route: string | null;
  /** Client account that sent it; null where callers need no key. */
  readonly account: string | null;
  /** The account's quota in units per second; null where it has none. */
  readonly accountQuotaPerS: number | null;
  /** Maximum number of tokens that it generates; null if not known. */
  readonly outputTokens: number | null;
  /** Longest acceptable milliseconds between two events; null if unset. */
  readonly maxEventGapMs: number | null;
  /** Parts of its prompt in order, which other requests may share. */
  readonly promptParts: readonly PromptPart[];
}

/** A part of a prompt, which requests with the same beginning share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** An upstream as listed in the registry. */
export interface UpstreamSpec {
  /** Usually different after each start of the upstream. */
  readonly instanceId: string;
  /** Host and port. */
  readonly address: string;
  readonly zone: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the upstream is leaving, so that it gets no new requests. */
  readonly isLeaving: boolean;
  /** Start time in Unix milliseconds; tells apart reuses of an instance id. */
  readonly startedAtUnixMs: number | null;
  /** Version of its software, not of its model; null if not known. */
  readonly softwareVersion: string | null;
}

/** Load that an upstream reports with its response. */
export interface ReportedLoad {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests that wait there. */
  readonly waiting: number;
  /** Requests that it runs at most; null if not told. */
  readonly slots: number | null;
  /** Time that work takes there now, where 1 is as usual; null if not told. */
  readonly slowdown: number | null;
}

/** The upstream granted to a request, with the inputs of the decision. */
export interface Placement {
  readonly upstream: UpstreamSpec;
  /** Predicted milliseconds until the first byte. */
  readonly expectedStartMs: number;
  /** Milliseconds in the queue, for the log. */
  readonly waitedMs: number;
  /** Free slots before this grant, for the log. */
  readonly freeSlots: number;
  /** Whether the upstream failed recently and gets one run at a time. */
  readonly isOnTrial: boolean;
  /** Limit of the upstream in requests per second; null for none. */
  readonly rateLimitPerS: number | null;
  /** Tokens of the prompt that the upstream is taken to hold. */
  readonly heldTokens: number;
  /** Tokens of the prompt that it reads although another one holds them. */
  readonly rereadTokens: number;
  /**
   * Whether the owner of the queue permits it for a roll-out to the upstream's
   * version.
   */
  readonly isTrial: boolean;
}

/** A run whose end was reported, and what that did to its upstream. */
export interface EndedRun {
  readonly instanceId: string;
  /** Member that reported the end. */
  readonly entryId: string;
  /** Whether the upstream gets no requests for a while because of it. */
  readonly hasStartedBackoff: boolean;
  /** What the queue knew if it was a rejection of a brittle upstream, else null. */
  readonly brittleRejection: BrittleRejection | null;
}

/** What a queue knew of a brittle upstream that rejected a request. */
export interface BrittleRejection {
  /** Rejections per second beyond which the upstream crashes. */
  readonly maxRejectionsPerS: number;
  /** Other granted requests that had not ended there. */
  readonly runs: number;
  /** Slots that it had free when it told its load, less granted requests. */
  readonly knownFreeSlots: number;
  /** Milliseconds since the rejection before it; null if none is known. */
  readonly sinceRejectionMs: number | null;
  /** Milliseconds since another member was likely to own the queue too; or null. */
  readonly sinceDoubtMs: number | null;
  /** Milliseconds since the queue began to keep to its share; null if never. */
  readonly sinceSplitMs: number | null;
  /** Slots of the upstream that the members of the queue may use in doubt. */
  readonly slotsShared: number;
  /** Requests that the upstream may reject at a time for these members. */
  readonly rejectionsShared: number;
}

/** Answer of the queue to a grant request. */
export type QueueAnswer =
  | {readonly kind: 'placed'; readonly placement: Placement}
  | {
      readonly kind: 'refused';
      readonly reason: QueueRefusal;
      readonly retryAfterMs: number;
    }
  /** The queue was closed; the request must be sent to another dispatcher. */
  | {readonly kind: 'moved'};

/** Report of an entry about the first byte of a response. */
export interface StartReport {
  readonly requestId: string;
  /** Milliseconds from the send to the first byte. */
  readonly startMs: number;
  readonly load: ReportedLoad | null;
}

/** Report of an entry about the end of a run. */
export interface EndReport {
  readonly requestId: string;
  readonly end: RunEnd;
  /** Milliseconds from the send to the end. */
  readonly runMs: number;
  /** Mean milliseconds between two stream events; null without a stream. */
  readonly eventGapMs: number | null;
  readonly load: ReportedLoad | null;
}
