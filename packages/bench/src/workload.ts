import {
  CHARS_PER_TOKEN,
  estimateTokens,
  hashPrefixBlocks,
  PREFIX_BLOCK_TOKENS,
} from '@fescuespool/coordination';
import {completionLength, BATCH_SLOWDOWN} from '@fescuespool/stand-ins';
import type {Arrival, Experiment} from './experiment_types.js';
import type {Random} from './random.js';
import {createRandom, nextInterarrivalMs} from './random.js';

const WORDS =
  'tariff crate quote blade contract dock notice origin weight seal';
const BURST_SIZE = 12;

interface Conversation {
  readonly tierIndex: number;
  readonly account: string;
  text: string;
  turnsLeft: number;
  /** Whether its opening has been sent. */
  isOpen: boolean;
}

/** Draws from a range so that long values are rare, as lengths are. */
export function sampleLength(
  random: Random,
  range: readonly [number, number],
): number {
  const [low, high] = range;
  return Math.round(low * (high / low) ** (random() ** 2));
}

function makeText(random: Random, tokens: number): string {
  const words = WORDS.split(' ');
  const length = tokens * CHARS_PER_TOKEN;
  let text = '';
  while (text.length < length) {
    const word = words[Math.floor(random() * words.length)]!;
    text += `${word}${Math.floor(random() * 1_000)} `;
  }
  return text.slice(0, length);
}

function drawTier(random: Random, experiment: Experiment): number {
  const total = experiment.tiers.reduce((sum, tier) => sum + tier.share, 0);
  let left = random() * total;
  for (const [index, tier] of experiment.tiers.entries()) {
    left -= tier.share;
    if (left < 0) return index;
  }
  return experiment.tiers.length - 1;
}

/** Account names of a tier: one large, two small. */
export function tierAccounts(tier: string): string[] {
  return [`${tier}-large`, `${tier}-small-1`, `${tier}-small-2`];
}

/** Seconds of a slot that a request takes on an average engine. */
function costSeconds(
  prompt: string,
  maxTokens: number,
  newTokens: number,
  experiment: Experiment,
): number {
  const {engines} = experiment;
  const slots = engines.reduce((sum, e) => sum + e.slots, 0);
  const decode = engines.reduce(
    (sum, e) => sum + e.slots * e.decodeTokensPerSecond,
    0,
  );
  const prefill = engines.reduce((sum, e) => sum + e.prefillTokensPerSecond, 0);
  const output = completionLength(`user:${prompt}\n`, maxTokens);
  const tokenSeconds = (slots * (1 + BATCH_SLOWDOWN)) / decode;
  return output * tokenSeconds + (newTokens * engines.length) / prefill;
}

/**
 * Makes the arrivals of an experiment at a load. The rate follows from the
 * slots and the mean slot time of a request with every prefix cached.
 */
export function makeArrivals(experiment: Experiment, load: number): Arrival[] {
  const random = createRandom(experiment.seed);
  const conversations: Conversation[] = [];
  const fresh = (): Conversation => {
    const tierIndex = drawTier(random, experiment);
    const accounts = tierAccounts(experiment.tiers[tierIndex]!.tier);
    const draw = random();
    const account = accounts[draw < 0.7 ? 0 : draw < 0.85 ? 1 : 2]!;
    const opening = sampleLength(random, experiment.openingTokens);
    const [fewest, most] = experiment.turns;
    const turnsLeft = fewest + Math.floor(random() * (most - fewest + 1));
    const text = makeText(random, opening);
    return {tierIndex, account, text, turnsLeft, isOpen: false};
  };
  for (let i = 0; i < experiment.conversations; i++)
    conversations.push(fresh());
  const durationMs = experiment.warmUpMs + experiment.measureMs;
  const next = (): Omit<Arrival, 'atMs'> => {
    const index = Math.floor(random() * conversations.length);
    if (conversations[index]!.turnsLeft <= 0) conversations[index] = fresh();
    const talk = conversations[index]!;
    const turn = makeText(random, sampleLength(random, experiment.turnTokens));
    const before = talk.isOpen ? talk.text.length : 0;
    talk.isOpen = true;
    talk.text += turn;
    talk.turnsLeft--;
    const tier = experiment.tiers[talk.tierIndex]!;
    const maxTokens = sampleLength(random, experiment.maxTokens);
    const newTokens = (talk.text.length - before) / CHARS_PER_TOKEN;
    return {
      tier: tier.tier,
      account: talk.account,
      prompt: talk.text,
      maxTokens,
      deadlineMs: tier.deadlineMs,
      costSeconds: costSeconds(talk.text, maxTokens, newTokens, experiment),
    };
  };
  const slots = totalSlots(experiment);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const isBurst = random() < experiment.burstShare / BURST_SIZE;
    let cost = 0;
    for (let i = 0; i < (isBurst ? BURST_SIZE : 1); i++) {
      const arrival = next();
      cost += arrival.costSeconds;
      arrivals.push({...arrival, atMs});
    }
    atMs += nextInterarrivalMs(random, (slots * load) / cost);
  }
  return arrivals;
}

/** Slots of all engines of an experiment. */
export function totalSlots(experiment: Experiment): number {
  return experiment.engines.reduce((sum, engine) => sum + engine.slots, 0);
}

/** Prompt tokens that must be computed once: each distinct block, and tails. */
export function countUniqueTokens(prompts: readonly string[]): number {
  const seen = new Set<string>();
  let tokens = 0;
  for (const prompt of prompts) {
    const hashes = hashPrefixBlocks(prompt);
    tokens += estimateTokens(prompt) - hashes.length * PREFIX_BLOCK_TOKENS;
    for (const hash of hashes) {
      if (!seen.has(hash)) tokens += PREFIX_BLOCK_TOKENS;
      seen.add(hash);
    }
  }
  return tokens;
}
