import type {ValueOf} from '@fescuespool/common';
import type {
  GRANT_KIND,
  MEMBER_STATE,
  OUTCOME,
  PLACEMENT_POLICY,
  REFUSAL_REASON,
  RELEASE_KIND,
  UPSTREAM_HEALTH,
} from './constants.js';

/** State of a member in the failure detection. */
export type MemberState = ValueOf<typeof MEMBER_STATE>;
/** Reason of a refusal, as sent to callers and counted. */
export type RefusalReason = ValueOf<typeof REFUSAL_REASON>;
/** Whether a refused request may have been executed. */
export type Outcome = ValueOf<typeof OUTCOME>;
/** Name of a placement policy in the settings. */
export type PlacementPolicyName = ValueOf<typeof PLACEMENT_POLICY>;
/** Health that decides whether an upstream may be sent requests. */
export type UpstreamHealth = ValueOf<typeof UPSTREAM_HEALTH>;
/** How a granted request ended, as its entry reports it. */
export type ReleaseKind = ValueOf<typeof RELEASE_KIND>;

/** A daemon in the membership, as probes carry it. */
export interface Member {
  readonly id: string;
  readonly zone: string;
  /** Host and port of the peer listener. */
  readonly address: string;
  /** Increases with each start and each refuted suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Versions of the replicated state, which members pull from newer peers. */
export interface StateVersions {
  readonly config: number;
  readonly vms: number;
  /** Number of restores of the platform's store. */
  readonly storeEpoch: number;
}

/** Payload of a membership probe and its answer, with gossiped changes. */
export interface ProbeMessage {
  readonly from: Member;
  readonly versions: StateVersions;
  readonly changes: readonly Member[];
}

/** What an entry sends to the dispatcher to obtain an upstream. */
export interface GrantRequest {
  readonly requestId: string;
  /** Member that holds the caller's connection. */
  readonly entryId: string;
  readonly service: string;
  /** Tier of the request; 0 is the highest. */
  readonly tier: number;
  readonly accountId: string;
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's blocks, the first block first. */
  readonly prefixHashes: readonly string[];
  /** Time in milliseconds until the response must be complete. */
  readonly remainingMs: number;
  /** Time in milliseconds already spent waiting at earlier dispatchers. */
  readonly waitedMs: number;
  /** Hash of client account and content, to detect crash-causing requests. */
  readonly fingerprint: string;
  /** Hash of client account and idempotency key; null if not joinable. */
  readonly joinKey: string | null;
  readonly preemptible: boolean;
  /** Ids of upstreams that did not accept the request. */
  readonly excluded: readonly string[];
}

/** Answer to a grant request: an upstream, a refusal, or to send it again. */
export type GrantAnswer =
  | {
      readonly kind: typeof GRANT_KIND.GRANTED;
      readonly upstreamId: string;
      readonly url: string;
    }
  | {
      readonly kind: typeof GRANT_KIND.JOINED;
      readonly upstreamId: string;
      readonly url: string;
      /** Id of the running request whose stream is joined. */
      readonly runningRequestId: string;
    }
  | {
      readonly kind: typeof GRANT_KIND.REFUSED;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | null;
    }
  | {readonly kind: typeof GRANT_KIND.MOVED};

/** A running request and its upstream, as entries and dispatchers report. */
export interface RunningRequest {
  readonly request: GrantRequest;
  readonly upstreamId: string;
}

/** Report of an entry that a granted request has ended. */
export interface ReleaseReport {
  readonly requestId: string;
  readonly service: string;
  readonly kind: ReleaseKind;
  /** Milliseconds from dispatch to the first token; null without one. */
  readonly firstTokenMs: number | null;
  /** Milliseconds from the first token to the last; null if unmeasured. */
  readonly decodeMs: number | null;
  readonly outputTokens: number;
  /** Prompt tokens that the upstream computed; null if not reported. */
  readonly computedPromptTokens: number | null;
}

/** Progress of a run: its first token, then its token interval at times. */
export interface ProgressReport {
  readonly requestId: string;
  readonly service: string;
  /** Mean ms between tokens since the last report; null at the first token. */
  readonly tokenIntervalMs: number | null;
}

/** Load report of an upstream; it lags behind the actual load. */
export interface LoadReport {
  readonly running: number;
  readonly queuedTokens: number;
  readonly leaving: boolean;
  /** Hashes of blocks evicted since the last report; may be incomplete. */
  readonly evicted: readonly string[];
}

/** Address, capacity and rates of an upstream, in tokens per second. */
export interface UpstreamSpec {
  readonly id: string;
  readonly zone: string;
  readonly url: string;
  readonly slots: number;
  readonly cacheTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly isModel: boolean;
  readonly isLeaving: boolean;
}

/** A request that was in flight, its response not yet begun, at a death. */
export interface CrashSuspect {
  /** Hash of the request's account and content. */
  readonly content: string;
  /** Ids of the parts of its prompt, in order. */
  readonly parts: readonly string[];
}

/** Death of an upstream with the requests that may have caused it. */
export interface UpstreamDeath {
  readonly upstreamId: string;
  /** Monotonic time in milliseconds of its first report. */
  readonly atMs: number;
  readonly suspects: CrashSuspect[];
}

/** A prompt part that crashes upstreams. */
export interface CrashCause {
  readonly part: string;
  /** Milliseconds for which requests with it are refused. */
  readonly remainingMs: number;
}
