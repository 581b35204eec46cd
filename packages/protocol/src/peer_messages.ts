import {
  GRANT_KIND,
  MEMBER_STATE,
  REFUSAL_REASON,
  RELEASE_KIND,
  MAX_CRASH_CAUSES,
} from '@fescuespool/coordination';
import type {CrashCause, RunningRequest} from '@fescuespool/coordination';
import type {VmListing} from '@fescuespool/state';
import {VM_STATE} from '@fescuespool/state';
import {z} from 'zod';

const MAX_LIST_LENGTH = 4_096;
const SHORT_TEXT = z.string().max(256);
const STORE_KEY = z.string().max(512);
const COUNT = z.number().int().min(0);

const MEMBER = z.object({
  id: SHORT_TEXT,
  zone: SHORT_TEXT,
  address: SHORT_TEXT,
  incarnation: COUNT,
  state: z.enum(MEMBER_STATE),
});

/** Schema of a membership probe. */
export const PROBE_SCHEMA = z.object({
  from: MEMBER,
  versions: z.object({
    config: COUNT,
    vms: COUNT,
    storeEpoch: COUNT.default(0),
  }),
  changes: z.array(MEMBER).max(MAX_LIST_LENGTH),
});

/** Schema of a request to probe another member for the sender. */
export const INDIRECT_PROBE_SCHEMA = z.object({target: MEMBER});

/** Schema of a grant request. */
export const GRANT_REQUEST_SCHEMA = z.object({
  requestId: SHORT_TEXT,
  entryId: SHORT_TEXT,
  service: SHORT_TEXT,
  tier: COUNT.max(16),
  accountId: SHORT_TEXT,
  weight: z.number().positive(),
  promptTokens: COUNT,
  maxTokens: COUNT,
  prefixHashes: z.array(SHORT_TEXT).max(256),
  remainingMs: z.number(),
  waitedMs: z.number().min(0),
  fingerprint: SHORT_TEXT,
  joinKey: SHORT_TEXT.nullable(),
  preemptible: z.boolean(),
  excluded: z.array(SHORT_TEXT).max(64),
});

const RUNNING_REQUEST = z.object({
  request: GRANT_REQUEST_SCHEMA,
  upstreamId: SHORT_TEXT,
});

/** Schema of the answer to a grant request. */
export const GRANT_ANSWER_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(GRANT_KIND.GRANTED),
    upstreamId: SHORT_TEXT,
    url: z.string(),
  }),
  z.object({
    kind: z.literal(GRANT_KIND.JOINED),
    upstreamId: SHORT_TEXT,
    url: z.string(),
    runningRequestId: SHORT_TEXT,
  }),
  z.object({
    kind: z.literal(GRANT_KIND.REFUSED),
    reason: z.enum(REFUSAL_REASON),
    retryAfterMs: z.number().nullable(),
  }),
  z.object({kind: z.literal(GRANT_KIND.MOVED)}),
]);

/** Schema of a message that refers to one request of a service. */
export const REQUEST_REF_SCHEMA = z.object({
  requestId: SHORT_TEXT,
  service: SHORT_TEXT,
});

/** Schema of a progress report of a running request. */
export const PROGRESS_SCHEMA = z.object({
  requestId: SHORT_TEXT,
  service: SHORT_TEXT,
  tokenIntervalMs: z.number().min(0).nullable(),
});

/** Schema of a list of request identifiers, used as parameters and answer. */
export const REQUEST_LIST_SCHEMA = z.object({
  requestIds: z.array(SHORT_TEXT).max(MAX_LIST_LENGTH),
});

/** Schema of the report that a granted request has ended. */
export const RELEASE_SCHEMA = z.object({
  requestId: SHORT_TEXT,
  service: SHORT_TEXT,
  kind: z.enum(RELEASE_KIND),
  firstTokenMs: z.number().nullable(),
  decodeMs: z.number().nullable(),
  outputTokens: COUNT,
  computedPromptTokens: COUNT.nullable(),
});

/** Prompt parts that crash upstreams; members of older versions send none. */
const CRASH_CAUSES = z
  .array(z.object({part: SHORT_TEXT, remainingMs: z.number()}))
  .max(MAX_CRASH_CAUSES)
  .default([]);

/** Schema of the registration of running requests with a new dispatcher. */
export const REGISTER_SCHEMA = z.object({
  service: SHORT_TEXT,
  memberId: SHORT_TEXT,
  running: z.array(RUNNING_REQUEST).max(MAX_LIST_LENGTH),
  causes: CRASH_CAUSES,
});

/**
 * Running requests that an entry registers with a new dispatcher, and the crash
 * causes that it knows.
 */
export interface RegisterMessage {
  readonly service: string;
  readonly memberId: string;
  readonly running: readonly RunningRequest[];
  readonly causes: readonly CrashCause[];
}

/** Schema of a running request that is replicated to a successor. */
export const REPLICATE_SCHEMA = RUNNING_REQUEST;

const VERSION_ENTRY = z.object({
  version: COUNT,
  patchId: SHORT_TEXT,
  author: z.string(),
  acceptedAtMs: z.number(),
  sections: z.record(z.string(), z.string()),
});

/** Schema of a configuration version that a relay announces. */
export const CONFIG_ANNOUNCE_SCHEMA = z.object({
  entry: VERSION_ENTRY,
  from: MEMBER,
});

/** Schema of the answer to a request for the configuration head. */
export const CONFIG_HEAD_ANSWER_SCHEMA = z.object({
  entry: VERSION_ENTRY.nullable(),
});

/** Schema of a request for one configuration section. */
export const CONFIG_SECTION_REQUEST_SCHEMA = z.object({
  name: z.string(),
  key: z.string(),
});

/** Schema of the VM list that a peer returns. */
export const VM_LIST_SCHEMA: z.ZodType<VmListing> = z.object({
  revision: COUNT,
  vms: z
    .array(
      z.object({
        id: SHORT_TEXT,
        zone: SHORT_TEXT,
        role: z.enum(['entry', 'upstream']),
        state: z.enum(VM_STATE),
        address: SHORT_TEXT.optional(),
      }),
    )
    .max(MAX_LIST_LENGTH),
});

/** Schema of a request for the state of a claim. */
export const CLAIM_REF_SCHEMA = z.object({nonce: SHORT_TEXT});

/** Schema of a claim, by its key in the store, that another member copies. */
export const CLAIM_COPY_SCHEMA = z.object({
  key: STORE_KEY,
  claim: z.object({
    nonce: SHORT_TEXT,
    holder: z.object({memberId: SHORT_TEXT, incarnation: COUNT}),
    requestId: SHORT_TEXT,
    fingerprint: SHORT_TEXT,
  }),
});

/** Schema of the answer, with the store's epoch as the other member knows it. */
export const CLAIM_COPY_ANSWER_SCHEMA = z.object({storeEpoch: COUNT});

/** A claim that another member keeps a copy of. */
export type ClaimCopy = z.infer<typeof CLAIM_COPY_SCHEMA>;

/**
 * Schema of upstream deaths counted by request fingerprint, and of prompt parts
 * that crash upstreams.
 */
export const POISON_ANNOUNCE_SCHEMA = z.object({
  counts: z.record(z.string(), COUNT),
  causes: CRASH_CAUSES,
});

/** Announcement of requests that crash upstreams. */
export type PoisonAnnouncement = z.infer<typeof POISON_ANNOUNCE_SCHEMA>;

/** HTTP response that the holder of a claim keeps for repeated requests. */
export interface CachedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}
