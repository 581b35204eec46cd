import {MAX_CRASH_CAUSES} from '@fescuespool/coordination';
import {
  MAX_LIMITED_UPSTREAMS,
  MAX_PAUSE_MS,
  MAX_PAUSED_UPSTREAMS,
  PREVIEW_OBSTACLE,
  PREVIEW_OUTCOME,
  PREVIEW_REASON,
  QUEUE_REFUSAL,
  RUN_END,
} from '@fescuespool/scheduling';
import {z} from 'zod';
import {
  MAX_EXCLUDED_UPSTREAMS,
  MAX_LEAVING_REPORTED,
  MAX_PROMPT_PARTS,
} from './constants.js';

const ID = z.string().max(256);
const COUNT = z.number().int().min(0);
const MILLISECONDS = z.number();
const MAX_RUNS = 4_096;
const MAX_TIER = 99;

/** Fields that earlier builds don't send are as if the upstream told none. */
const LOAD = z
  .object({
    running: COUNT,
    waiting: COUNT,
    slots: COUNT.nullable().catch(null),
    slowdown: z.number().positive().nullable().catch(null),
  })
  .nullable();

/** Parts of a prompt in order. */
export const PROMPT_PARTS = z
  .array(z.object({id: ID, tokens: COUNT}))
  .max(MAX_PROMPT_PARTS);

/** A reason that only a later build knows is still a refusal. */
const REFUSAL_REASON = z
  .enum(QUEUE_REFUSAL)
  .or(ID.transform(() => QUEUE_REFUSAL.OVERLOADED));

/** An end that only a later build knows frees the slot and proves nothing. */
const REPORTED_END = z.enum(RUN_END).or(ID.transform(() => RUN_END.CANCELLED));

/** Params of a grant request; times count from when it is sent. */
export const GRANT_SCHEMA = z.object({
  service: ID,
  item: z.object({
    requestId: ID,
    entryId: ID,
    zone: ID,
    tier: COUNT.max(MAX_TIER),
    fingerprint: ID,
    promptTokens: COUNT,
    objectiveLeftMs: MILLISECONDS,
    patienceLeftMs: MILLISECONDS,
    isRepeatable: z.boolean(),
    isRetry: z.boolean(),
    isAskedAgain: z.boolean().default(false),
    lendsRetries: z.boolean().default(false),
    excluded: z.array(ID).max(MAX_EXCLUDED_UPSTREAMS),
    avoidedZones: z.array(ID).max(64),
    requiredVersion: ID.nullable().default(null),
    // Hints that can't be read, such as a name that is too long, are as none.
    route: ID.nullable().catch(null),
    account: ID.nullable().catch(null),
    accountQuotaPerS: z.number().positive().nullable().catch(null),
    outputTokens: COUNT.nullable().catch(null),
    maxEventGapMs: MILLISECONDS.nullable().catch(null),
    promptParts: PROMPT_PARTS.catch([]),
    timeLeftMs: MILLISECONDS.nullable().catch(null),
  }),
});

/** Answer to a grant request. */
export const GRANT_ANSWER_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('placed'),
    placement: z.object({
      upstream: z.object({
        instanceId: ID,
        address: ID,
        zone: ID,
        slots: COUNT,
        isLeaving: z.boolean(),
        startedAtUnixMs: z.number().nullable(),
        softwareVersion: ID.nullable().default(null),
      }),
      expectedStartMs: MILLISECONDS,
      waitedMs: MILLISECONDS,
      freeSlots: z.number(),
      isOnTrial: z.boolean(),
      rateLimitPerS: z.number().nullable().default(null),
      // Hints for the log, as none if they can't be read.
      heldTokens: COUNT.catch(0),
      rereadTokens: COUNT.catch(0),
      isTrial: z.boolean().default(false),
    }),
  }),
  z.object({
    kind: z.literal('refused'),
    reason: REFUSAL_REASON,
    retryAfterMs: MILLISECONDS,
  }),
  z.object({kind: z.literal('moved')}),
]);

/** Most upstreams that are read of a preview. */
const MAX_PREVIEWED = 256;

/** Answer to the question where a request would go now. */
export const QUEUE_PREVIEW_SCHEMA = z.object({
  outcome: z.enum(PREVIEW_OUTCOME),
  reason: z.enum({...PREVIEW_REASON, ...QUEUE_REFUSAL}),
  chosen: ID.nullable(),
  expectedWaitMs: MILLISECONDS,
  waiting: COUNT,
  upstreamCount: COUNT,
  upstreams: z
    .array(
      z.object({
        instanceId: ID,
        zone: ID,
        obstacle: z.enum(PREVIEW_OBSTACLE).nullable(),
        startMs: MILLISECONDS,
        costMs: MILLISECONDS,
        heldTokens: COUNT,
        freeSlots: z.number(),
      }),
    )
    .max(MAX_PREVIEWED),
});

/** Params that identify one request of a service, used to cancel its wait. */
export const REQUEST_REF_SCHEMA = z.object({service: ID, requestId: ID});

/** Params of the report that a response has started. */
export const STARTED_SCHEMA = z.object({
  service: ID,
  report: z.object({requestId: ID, startMs: MILLISECONDS, load: LOAD}),
});

/** Params of the report that a granted request has ended. */
export const ENDED_SCHEMA = z.object({
  service: ID,
  report: z.object({
    requestId: ID,
    end: REPORTED_END,
    runMs: MILLISECONDS,
    eventGapMs: MILLISECONDS.nullable(),
    load: LOAD,
  }),
});

/** What an upstream told an entry about its rate limit, and how long ago. */
const LIMIT_STATEMENT = z.object({
  instanceId: ID,
  startedAtUnixMs: z.number().nullable(),
  perSecond: z.number().min(0).nullable(),
  maxRejectionsPerS: z.number().min(0).nullable().default(null),
  ageMs: MILLISECONDS,
});

/** A life of an upstream. */
const LIFE = z.object({
  instanceId: ID,
  startedAtUnixMs: z.number().nullable(),
});

/** Time for which an upstream still wants no requests from a gateway. */
const PAUSE_LEFT = MILLISECONDS.min(0).max(MAX_PAUSE_MS);

/** An upstream that wants no requests from an entry for a while. */
const PAUSE = LIFE.extend({leftMs: PAUSE_LEFT});

/**
 * Params of the notice to a neighbour of what an upstream said at the end of its
 * tunnel.
 */
export const UPSTREAM_NOTICE_SCHEMA = LIFE.extend({
  senderId: ID,
  isLeaving: z.boolean().default(false),
  pauseMs: PAUSE_LEFT.nullable().default(null),
});

/** What an upstream said at the end of a neighbour's tunnel. */
export type UpstreamNotice = z.infer<typeof UPSTREAM_NOTICE_SCHEMA>;

/** Answer to that notice. */
export const NOTICE_TAKEN_SCHEMA = z.literal(true);

/**
 * Params of an entry's periodic list of running requests of a service, and of
 * what its upstreams told the entry: rate limits, leaving and pauses.
 */
export const REPORT_SCHEMA = z.object({
  service: ID,
  entryId: ID,
  runs: z.array(z.object({requestId: ID, instanceId: ID})).max(MAX_RUNS),
  limits: z.array(LIMIT_STATEMENT).max(MAX_LIMITED_UPSTREAMS).default([]),
  leaving: z.array(LIFE).max(MAX_LEAVING_REPORTED).default([]),
  pauses: z.array(PAUSE).max(MAX_PAUSED_UPSTREAMS).default([]),
});

/** An entry's list of running requests of a service. */
export type RunReport = z.infer<typeof REPORT_SCHEMA>;

/** Quota units by account name. */
export const USAGE_SCHEMA = z.record(ID, z.number());

/** Version of a configuration in force; -1 for none. */
const CONFIG_VERSION = z.number().default(-1);

/**
 * The usage hub's answer: units that other members used, and the number of
 * members that reported recently, or null while the hub is too new for all
 * members to have reported to it; and the newest configuration in force.
 */
export const USAGE_ANSWER_SCHEMA = z.object({
  others: USAGE_SCHEMA,
  heard: COUNT.nullable(),
  newestConfig: CONFIG_VERSION,
});

/** Answer of the usage hub to a report. */
export type UsageReportAnswer = z.infer<typeof USAGE_ANSWER_SCHEMA>;

/** Params of a member's usage report to the hub. */
export const USAGE_REPORT_SCHEMA = z.object({
  memberId: ID,
  usage: USAGE_SCHEMA,
  configVersion: CONFIG_VERSION,
});

/** A member's usage report, with its configuration's version. */
export type UsageReport = z.infer<typeof USAGE_REPORT_SCHEMA>;

const MAX_PARTS = 64;
const PARTS = z.array(ID).max(MAX_PARTS);

/**
 * Params of the notice that an upstream died with a request in flight. The parts
 * are those of its prompt, or none if its response had begun.
 */
export const DEATH_SCHEMA = z.object({
  fingerprint: ID,
  instanceId: ID,
  suspectParts: PARTS.default([]),
});

/** Notice that an upstream died with a request in flight. */
export type DeathReport = z.infer<typeof DEATH_SCHEMA>;

/** Params of the notice that prompt parts don't crash upstreams. */
export const PARTS_CLEARED_SCHEMA = z.object({parts: PARTS});

/** Prompt parts that crash upstreams, with the time for which to refuse them. */
export const CRASH_CAUSES_SCHEMA = z.object({
  causes: z
    .array(z.object({part: ID, remainingMs: MILLISECONDS}))
    .max(MAX_CRASH_CAUSES),
});

const ORIGIN = z.object({service: ID, softwareVersion: ID, send: COUNT});

/** Params of the notice that a stream has begun. */
export const STREAM_BEGAN_SCHEMA = z.object({requestId: ID, origin: ORIGIN});

/** Answer to that notice. */
export const ORIGIN_SHARED_SCHEMA = z.literal(true);

/** Params of the question where a stream began. */
export const STREAM_ORIGIN_SCHEMA = z.object({requestId: ID});

/** Answer to that question; null if it is not known. */
export const ORIGIN_ANSWER_SCHEMA = z.object({origin: ORIGIN.nullable()});
