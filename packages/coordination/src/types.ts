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

/** Liveness of a member. */
export type MemberState = ValueOf<typeof MEMBER_STATE>;
/** Reason of a refusal. */
export type RefusalReason = ValueOf<typeof REFUSAL_REASON>;
/** Whether a refused request ran. */
export type Outcome = ValueOf<typeof OUTCOME>;
/** Name of a placement policy. */
export type PlacementPolicyName = ValueOf<typeof PLACEMENT_POLICY>;
/** Health of an upstream. */
export type UpstreamHealth = ValueOf<typeof UPSTREAM_HEALTH>;
/** How a granted request ended. */
export type ReleaseKind = ValueOf<typeof RELEASE_KIND>;

/** A daemon as its peers know it. */
export interface Member {
  readonly id: string;
  readonly zone: string;
  /** Host and port of the peer listener. */
  readonly address: string;
  /** Grows with each start and each refuted suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Versions of the state that members pull from one another. */
export interface StateVersions {
  readonly config: number;
  readonly vms: number;
}

/** Payload of a membership probe and of its answer. */
export interface ProbeMessage {
  readonly from: Member;
  readonly versions: StateVersions;
  readonly changes: readonly Member[];
}

/** Description of a request that waits for an upstream. */
export interface GrantRequest {
  readonly requestId: string;
  readonly entryId: string;
  readonly service: string;
  /** Rank of the tier; 0 is the highest. */
  readonly tier: number;
  readonly accountId: string;
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's blocks, the first block first. */
  readonly prefixHashes: readonly string[];
  /** Time in milliseconds until the answer must be whole. */
  readonly remainingMs: number;
  /** Time in milliseconds already waited with earlier dispatchers. */
  readonly waitedMs: number;
  /** Hash of account and content, for poison detection. */
  readonly fingerprint: string;
  /** Hash of account and idempotency key, where the run may be joined. */
  readonly joinKey: string | null;
  readonly preemptible: boolean;
  /** Upstreams that did not accept the request. */
  readonly excluded: readonly string[];
}

/** Answer to a grant request. */
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
      /** Request that runs there and whose stream is joined. */
      readonly runningRequestId: string;
    }
  | {
      readonly kind: typeof GRANT_KIND.REFUSED;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | null;
    }
  | {readonly kind: typeof GRANT_KIND.MOVED};

/** A request that runs at an upstream. */
export interface RunningRequest {
  readonly request: GrantRequest;
  readonly upstreamId: string;
}

/** What an entry reports when a granted request has ended. */
export interface ReleaseReport {
  readonly requestId: string;
  readonly service: string;
  readonly kind: ReleaseKind;
  /** Milliseconds from dispatch to the first token, where one came. */
  readonly firstTokenMs: number | null;
  /** Milliseconds from the first token to the last. */
  readonly decodeMs: number | null;
  readonly outputTokens: number;
  /** Prompt tokens that the upstream computed, where it said so. */
  readonly computedPromptTokens: number | null;
}

/** Progress of a run: its first token, then its speed from time to time. */
export interface ProgressReport {
  readonly requestId: string;
  readonly service: string;
  /** Mean time between tokens since the last report; null at the first token. */
  readonly tokenIntervalMs: number | null;
}

/** Load that an upstream reports; it lags behind the truth. */
export interface LoadReport {
  readonly running: number;
  readonly queuedTokens: number;
  readonly leaving: boolean;
  /** Hashes of evicted blocks since the last report; may have gaps. */
  readonly evicted: readonly string[];
}

/** Upstream as a cell uses it. */
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
