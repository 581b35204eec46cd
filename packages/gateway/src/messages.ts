import {QUEUE_REFUSAL, RUN_END} from '@fescuespool/scheduling';
import {z} from 'zod';

const ID = z.string().max(256);
const COUNT = z.number().int().min(0);
const MILLISECONDS = z.number();
const MAX_RUNS = 4_096;
const MAX_TIER = 99;

const LOAD = z.object({running: COUNT, waiting: COUNT}).nullable();

/** Schema of a question for an upstream. */
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
    excluded: z.array(ID).max(64),
    avoidedZones: z.array(ID).max(64),
  }),
});

/** Schema of the answer to it. */
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
      }),
      expectedStartMs: MILLISECONDS,
      waitedMs: MILLISECONDS,
      freeSlots: z.number(),
      isOnTrial: z.boolean(),
    }),
  }),
  z.object({
    kind: z.literal('refused'),
    reason: z.enum(QUEUE_REFUSAL),
    retryAfterMs: MILLISECONDS,
  }),
  z.object({kind: z.literal('moved')}),
]);

/** Schema of a message that names one request of a service. */
export const REQUEST_REF_SCHEMA = z.object({service: ID, requestId: ID});

/** Schema of the report of a first byte. */
export const STARTED_SCHEMA = z.object({
  service: ID,
  report: z.object({requestId: ID, startMs: MILLISECONDS, load: LOAD}),
});

/** Schema of the report of an end. */
export const ENDED_SCHEMA = z.object({
  service: ID,
  report: z.object({
    requestId: ID,
    end: z.enum(RUN_END),
    runMs: MILLISECONDS,
    eventGapMs: MILLISECONDS.nullable(),
    load: LOAD,
  }),
});

/** Schema of the list of what runs at an entry. */
export const REPORT_SCHEMA = z.object({
  service: ID,
  entryId: ID,
  runs: z.array(z.object({requestId: ID, instanceId: ID})).max(MAX_RUNS),
});

/** Schema of quota units by account. */
export const USAGE_SCHEMA = z.record(ID, z.number());

/** Schema of the hub's answer. */
export const USAGE_ANSWER_SCHEMA = z.object({
  others: USAGE_SCHEMA,
  heard: COUNT.nullable(),
});

/** Schema of a member's usage. */
export const USAGE_REPORT_SCHEMA = z.object({
  memberId: ID,
  usage: USAGE_SCHEMA,
});

/** Schema of the death of an upstream with a request in flight. */
export const DEATH_SCHEMA = z.object({fingerprint: ID, instanceId: ID});
