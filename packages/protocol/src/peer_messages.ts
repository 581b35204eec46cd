import {
  GRANT_KIND,
  MEMBER_STATE,
  REFUSAL_REASON,
  RELEASE_KIND,
} from '@fescuespool/coordination';
import type {RunningRequest} from '@fescuespool/coordination';
import type {VmListing} from '@fescuespool/state';
import {VM_STATE} from '@fescuespool/state';
import {z} from 'zod';

const MAX_LIST = 4_096;
const SHORT = z.string().max(256);
const COUNT = z.number().int().min(0);

const MEMBER = z.object({
  id: SHORT,
  zone: SHORT,
  address: SHORT,
  incarnation: COUNT,
  state: z.enum(MEMBER_STATE),
});

/** Schema of a membership probe. */
export const PROBE_SCHEMA = z.object({
  from: MEMBER,
  versions: z.object({config: COUNT, vms: COUNT}),
  changes: z.array(MEMBER).max(MAX_LIST),
});

/** Schema of a question whether a member can be reached. */
export const INDIRECT_PROBE_SCHEMA = z.object({target: MEMBER});

/** Schema of a grant request. */
export const GRANT_REQUEST_SCHEMA = z.object({
  requestId: SHORT,
  entryId: SHORT,
  service: SHORT,
  tier: COUNT.max(16),
  accountId: SHORT,
  weight: z.number().positive(),
  promptTokens: COUNT,
  maxTokens: COUNT,
  prefixHashes: z.array(SHORT).max(256),
  remainingMs: z.number(),
  waitedMs: z.number().min(0),
  fingerprint: SHORT,
  joinKey: SHORT.nullable(),
  preemptible: z.boolean(),
  excluded: z.array(SHORT).max(64),
});

const RUNNING_REQUEST = z.object({
  request: GRANT_REQUEST_SCHEMA,
  upstreamId: SHORT,
});

/** Schema of the answer to a grant request. */
export const GRANT_ANSWER_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(GRANT_KIND.GRANTED),
    upstreamId: SHORT,
    url: z.string(),
  }),
  z.object({
    kind: z.literal(GRANT_KIND.JOINED),
    upstreamId: SHORT,
    url: z.string(),
    runningRequestId: SHORT,
  }),
  z.object({
    kind: z.literal(GRANT_KIND.REFUSED),
    reason: z.enum(REFUSAL_REASON),
    retryAfterMs: z.number().nullable(),
  }),
  z.object({kind: z.literal(GRANT_KIND.MOVED)}),
]);

/** Schema of a message that names one request of a service. */
export const REQUEST_REF_SCHEMA = z.object({
  requestId: SHORT,
  service: SHORT,
});

/** Schema of the progress of a run. */
export const PROGRESS_SCHEMA = z.object({
  requestId: SHORT,
  service: SHORT,
  tokenIntervalMs: z.number().min(0).nullable(),
});

/** Schema of a list of requests, as question and as answer. */
export const REQUEST_LIST_SCHEMA = z.object({
  requestIds: z.array(SHORT).max(MAX_LIST),
});

/** Schema of a release report. */
export const RELEASE_SCHEMA = z.object({
  requestId: SHORT,
  service: SHORT,
  kind: z.enum(RELEASE_KIND),
  firstTokenMs: z.number().nullable(),
  decodeMs: z.number().nullable(),
  outputTokens: COUNT,
  computedPromptTokens: COUNT.nullable(),
});

/** Schema of what an entry registers with a new dispatcher. */
export const REGISTER_SCHEMA = z.object({
  service: SHORT,
  memberId: SHORT,
  running: z.array(RUNNING_REQUEST).max(MAX_LIST),
});

/** What an entry registers with a new dispatcher. */
export interface RegisterMessage {
  readonly service: string;
  readonly memberId: string;
  readonly running: readonly RunningRequest[];
}

/** Schema of the record that a successor keeps. */
export const REPLICATE_SCHEMA = RUNNING_REQUEST;

const VERSION_ENTRY = z.object({
  version: COUNT,
  patchId: SHORT,
  author: z.string(),
  acceptedAtMs: z.number(),
  sections: z.record(z.string(), z.string()),
});

/** Schema of a configuration version that a relay announces. */
export const CONFIG_ANNOUNCE_SCHEMA = z.object({
  entry: VERSION_ENTRY,
  from: MEMBER,
});

/** Schema of the answer to a question for the configuration head. */
export const CONFIG_HEAD_ANSWER_SCHEMA = z.object({
  entry: VERSION_ENTRY.nullable(),
});

/** Schema of a question for one section. */
export const CONFIG_SECTION_REQUEST_SCHEMA = z.object({
  name: z.string(),
  key: z.string(),
});

/** Schema of a VM list that a relay announces. */
export const VM_LIST_SCHEMA: z.ZodType<VmListing> = z.object({
  revision: COUNT,
  vms: z
    .array(
      z.object({
        id: SHORT,
        zone: SHORT,
        role: z.enum(['entry', 'upstream']),
        state: z.enum(VM_STATE),
        address: SHORT.optional(),
      }),
    )
    .max(MAX_LIST),
});

/** Schema of a question for a claim. */
export const CLAIM_REF_SCHEMA = z.object({nonce: SHORT});

/** Schema of poison counts by fingerprint. */
export const POISON_ANNOUNCE_SCHEMA = z.object({
  counts: z.record(z.string(), COUNT),
});

/** An answer that a holder keeps for re-sends. */
export interface CachedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}
