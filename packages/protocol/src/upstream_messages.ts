import {z} from 'zod';

/** Paths of an upstream that callers do not use. */
export const UPSTREAM_PATH = {
  LOAD: '/load',
  STREAMS: '/v1/streams/',
} as const;

/** Schema of the load that an upstream reports. */
export const LOAD_REPORT_SCHEMA = z.object({
  running: z.number().int().min(0),
  queuedTokens: z.number().min(0),
  leaving: z.boolean(),
  evicted: z.array(z.string()).max(65_536),
});

/** Schema of a chat completion chunk; the raw text keeps unknown fields. */
export const CHAT_CHUNK_SCHEMA = z.looseObject({
  choices: z
    .array(
      z.looseObject({
        delta: z.looseObject({content: z.string().nullish()}).optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .optional(),
});
