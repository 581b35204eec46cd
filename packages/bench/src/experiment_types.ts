import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import {z} from 'zod';

const ENGINE_SCHEMA = z.strictObject({
  slots: z.number().int().min(1),
  prefillTokensPerSecond: z.number().positive(),
  decodeTokensPerSecond: z.number().positive(),
  cacheTokens: z.number().int().min(0),
});

const TIER_SHARE_SCHEMA = z.strictObject({
  tier: z.string(),
  share: z.number().positive(),
  deadlineMs: z.number().int().positive(),
});

/** Schema of an experiment's JSON. */
export const EXPERIMENT_SCHEMA = z.strictObject({
  name: z.string(),
  seed: z.number().int(),
  policies: z.array(z.enum(PLACEMENT_POLICY)).min(1),
  /** Offered load as multiples of the capacity of all slots. */
  loads: z.array(z.number().positive()).min(1),
  warmUpMs: z.number().int().min(0),
  measureMs: z.number().int().min(1),
  engines: z.array(ENGINE_SCHEMA).min(1),
  tiers: z.array(TIER_SHARE_SCHEMA).min(1),
  /** Conversations open at the same time; the turns of each share a prefix. */
  conversations: z.number().int().min(1),
  /** Fewest and most turns of a conversation. */
  turns: z.tuple([z.number().int(), z.number().int()]),
  /** Fewest and most tokens of the text that opens a conversation. */
  openingTokens: z.tuple([z.number(), z.number()]),
  /** Fewest and most tokens that a turn adds to the prompt. */
  turnTokens: z.tuple([z.number(), z.number()]),
  /** Smallest and largest output limit of a request in tokens. */
  maxTokens: z.tuple([z.number(), z.number()]),
  /** Share of the arrivals that come in bursts. */
  burstShare: z.number().min(0).max(1),
  /** Engine that is slower from the middle of the measurement on, or null. */
  straggler: z
    .strictObject({index: z.number().int(), slowdown: z.number()})
    .nullable(),
  /** Loads at which an entry is killed in the middle of the measurement. */
  killEntryAt: z.array(z.number()).default([]),
});

/** A workload that is run under several placement policies and loads. */
export type Experiment = z.infer<typeof EXPERIMENT_SCHEMA>;

/** One request of a workload, due `atMs` milliseconds after the start. */
export interface Arrival {
  readonly atMs: number;
  readonly tier: string;
  readonly account: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Slot time in seconds that it takes on an average engine. */
  readonly costSeconds: number;
}

/** Figures of one tier in one run. */
export interface TierFigures {
  readonly tier: string;
  readonly offered: number;
  readonly inTime: number;
  /** Share of the offered requests answered correctly and in time. */
  readonly goodput: number;
  readonly firstTokenP95Ms: number | null;
  readonly tokenIntervalP95Ms: number | null;
  /** Correct responses that were complete only after the deadline. */
  readonly late: number;
  /** Number of calls by how they ended, refused ones by reason. */
  readonly ends: Readonly<Record<string, number>>;
}

/** Figures of one policy at one load. */
export interface RunFigures {
  readonly policy: string;
  readonly load: number;
  readonly offered: number;
  readonly goodput: number;
  readonly tiers: readonly TierFigures[];
  /** Prompt tokens computed per unique prompt token of what was executed. */
  readonly prefillRatio: number;
  readonly breaches: readonly string[];
  /** Goodput that the total capacity allows when served in tier order. */
  readonly upperBound: number;
}
