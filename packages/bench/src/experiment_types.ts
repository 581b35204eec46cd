import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import {z} from 'zod';

const ENGINE = z.strictObject({
  slots: z.number().int().min(1),
  prefillTokensPerSecond: z.number().positive(),
  decodeTokensPerSecond: z.number().positive(),
  cacheTokens: z.number().int().min(0),
});

const TIER_SHARE = z.strictObject({
  tier: z.string(),
  share: z.number().positive(),
  deadlineMs: z.number().int().positive(),
});

/** Schema of an experiment. */
export const EXPERIMENT_SCHEMA = z.strictObject({
  name: z.string(),
  seed: z.number().int(),
  policies: z.array(z.enum(PLACEMENT_POLICY)).min(1),
  /** Offered work as multiples of the capacity. */
  loads: z.array(z.number().positive()).min(1),
  warmUpMs: z.number().int().min(0),
  measureMs: z.number().int().min(1),
  engines: z.array(ENGINE).min(1),
  tiers: z.array(TIER_SHARE).min(1),
  /** Conversations that are open at once and share their prefixes. */
  conversations: z.number().int().min(1),
  /** Turns of the shortest and the longest conversation. */
  turns: z.tuple([z.number().int(), z.number().int()]),
  /** Tokens of the shortest and the longest opening of a conversation. */
  openingTokens: z.tuple([z.number(), z.number()]),
  /** Tokens of the shortest and the longest turn. */
  turnTokens: z.tuple([z.number(), z.number()]),
  maxTokens: z.tuple([z.number(), z.number()]),
  /** Share of the arrivals that come in bursts. */
  burstShare: z.number().min(0).max(1),
  /** Engine that is slowed down from the middle on, or null. */
  straggler: z
    .strictObject({index: z.number().int(), slowdown: z.number()})
    .nullable(),
  /** Loads at which an entry is killed in the middle. */
  killEntryAt: z.array(z.number()).default([]),
});

/** An experiment: one workload, run under several policies and loads. */
export type Experiment = z.infer<typeof EXPERIMENT_SCHEMA>;

/** One request of a workload. */
export interface Arrival {
  readonly atMs: number;
  readonly tier: string;
  readonly account: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Seconds of a slot that it takes on an average engine. */
  readonly costSeconds: number;
}

/** Figures of one tier in one run. */
export interface TierFigures {
  readonly tier: string;
  readonly offered: number;
  readonly inTime: number;
  /** Share of the offered requests answered whole and in time. */
  readonly goodput: number;
  readonly firstTokenP95Ms: number | null;
  readonly tokenIntervalP95Ms: number | null;
  /** Whole answers that came after the deadline. */
  readonly late: number;
  readonly ends: Readonly<Record<string, number>>;
}

/** Figures of one policy at one load. */
export interface RunFigures {
  readonly policy: string;
  readonly load: number;
  readonly offered: number;
  readonly goodput: number;
  readonly tiers: readonly TierFigures[];
  /** Prompt tokens computed over the unique tokens of what was served. */
  readonly prefillRatio: number;
  readonly breaches: readonly string[];
  /** Goodput that total capacity allows in tier order. */
  readonly upperBound: number;
}
