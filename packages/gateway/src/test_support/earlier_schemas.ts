import {z} from 'zod';

const ID = z.string().max(256);
const COUNT = z.number().int().min(0);
const LOAD = z.object({running: COUNT, waiting: COUNT}).nullable();
/** Longest list of limits that such a build takes in a report. */
export const EARLIER_LIMITED_UPSTREAMS = 1_024;

/** Longest list of crash causes that such a build takes. */
export const EARLIER_CRASH_CAUSES = 256;

/** What builds since rate limits require of a message; they ignore the rest. */
export const EARLIER_SCHEMA = {
  GRANT: z.object({
    service: ID,
    item: z.object({
      requestId: ID,
      entryId: ID,
      zone: ID,
      tier: COUNT.max(99),
      fingerprint: ID,
      promptTokens: COUNT,
      objectiveLeftMs: z.number(),
      patienceLeftMs: z.number(),
      isRepeatable: z.boolean(),
      isRetry: z.boolean(),
      excluded: z.array(ID).max(64),
      avoidedZones: z.array(ID).max(64),
    }),
  }),
  GRANT_ANSWER: z.discriminatedUnion('kind', [
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
        expectedStartMs: z.number(),
        waitedMs: z.number(),
        freeSlots: z.number(),
        isOnTrial: z.boolean(),
        rateLimitPerS: z.number().nullable(),
      }),
    }),
    z.object({
      kind: z.literal('refused'),
      reason: z.enum(['overloaded', 'expired', 'no_upstream', 'budget_spent']),
      retryAfterMs: z.number(),
    }),
    z.object({kind: z.literal('moved')}),
  ]),
  STARTED: z.object({
    service: ID,
    report: z.object({requestId: ID, startMs: z.number(), load: LOAD}),
  }),
  ENDED: z.object({
    service: ID,
    report: z.object({
      requestId: ID,
      end: z.enum([
        'completed',
        'rejected',
        'leaving',
        'replaced',
        'failed',
        'broken',
        'unreachable',
        'silent',
        'cancelled',
      ]),
      runMs: z.number(),
      eventGapMs: z.number().nullable(),
      load: LOAD,
    }),
  }),
  REPORT: z.object({
    service: ID,
    entryId: ID,
    runs: z.array(z.object({requestId: ID, instanceId: ID})).max(4_096),
    limits: z
      .array(
        z.object({
          instanceId: ID,
          startedAtUnixMs: z.number().nullable(),
          perSecond: z.number().min(0).nullable(),
          ageMs: z.number(),
        }),
      )
      .max(EARLIER_LIMITED_UPSTREAMS),
  }),
  USAGE: z.object({memberId: ID, usage: z.record(ID, z.number())}),
  USAGE_ANSWER: z.object({
    others: z.record(ID, z.number()),
    heard: COUNT.nullable(),
  }),
  DEATH: z.object({
    fingerprint: ID,
    instanceId: ID,
    suspectParts: z.array(ID).max(64),
  }),
  CAUSES: z.object({
    causes: z
      .array(z.object({part: ID, remainingMs: z.number()}))
      .max(EARLIER_CRASH_CAUSES),
  }),
} as const;
