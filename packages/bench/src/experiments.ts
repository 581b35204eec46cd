import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import type {Experiment} from './experiment_types.js';

const TIERS = [
  {tier: 'critical', share: 0.2, deadlineMs: 4_000},
  {tier: 'high', share: 0.25, deadlineMs: 5_000},
  {tier: 'normal', share: 0.3, deadlineMs: 6_000},
  {tier: 'low', share: 0.25, deadlineMs: 8_000},
];

const ALL_POLICIES = Object.values(PLACEMENT_POLICY);

/**
 * Six engines of unequal size; conversations have long histories, and little
 * capacity is left to compute them again.
 */
export const SIX_ENGINES: Experiment = {
  name: 'six-engines',
  seed: 20_261_204,
  policies: ALL_POLICIES,
  loads: [0.9, 1.5, 3],
  warmUpMs: 4_000,
  measureMs: 14_000,
  engines: [
    {slots: 6, prefillTokensPerSecond: 12_000, decodeTokensPerSecond: 60},
    {slots: 6, prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 50},
    {slots: 4, prefillTokensPerSecond: 8_000, decodeTokensPerSecond: 45},
    {slots: 4, prefillTokensPerSecond: 8_000, decodeTokensPerSecond: 45},
    {slots: 4, prefillTokensPerSecond: 6_000, decodeTokensPerSecond: 40},
    {slots: 2, prefillTokensPerSecond: 5_000, decodeTokensPerSecond: 35},
  ].map(engine => ({...engine, cacheTokens: 16_384})),
  tiers: TIERS,
  conversations: 40,
  turns: [2, 7],
  openingTokens: [60, 6_000],
  turnTokens: [10, 300],
  maxTokens: [8, 100],
  burstShare: 0.3,
  straggler: {index: 1, slowdown: 6},
  killEntryAt: [3],
};

/** Conversations of many turns on engines that compute prompts slowly. */
export const LONG_HISTORIES: Experiment = {
  ...SIX_ENGINES,
  name: 'long-histories',
  seed: 4_711,
  engines: SIX_ENGINES.engines.map(engine => ({
    ...engine,
    prefillTokensPerSecond: engine.prefillTokensPerSecond / 2,
  })),
  conversations: 36,
  turns: [6, 18],
};

const LARGE_ENGINE = SIX_ENGINES.engines[0]!;
const MEDIUM_ENGINE = SIX_ENGINES.engines[2]!;
const SMALL_ENGINE = SIX_ENGINES.engines[4]!;

/** Thirteen engines of three sizes and more conversations. */
export const THIRTEEN_ENGINES: Experiment = {
  ...SIX_ENGINES,
  name: 'thirteen-engines',
  seed: 7_031,
  engines: [
    ...Array.from({length: 4}, () => LARGE_ENGINE),
    ...Array.from({length: 5}, () => MEDIUM_ENGINE),
    ...Array.from({length: 4}, () => SMALL_ENGINE),
  ],
  conversations: 90,
};

/** Built-in experiments by name. */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  [SIX_ENGINES.name]: SIX_ENGINES,
  [LONG_HISTORIES.name]: LONG_HISTORIES,
  [THIRTEEN_ENGINES.name]: THIRTEEN_ENGINES,
};
