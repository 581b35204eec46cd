import {
  CHARS_PER_TOKEN,
  estimateTokens,
  hashPrefixBlocks,
  PREFIX_BLOCK_TOKENS,
} from '@fescuespool/coordination';
import {BATCH_SLOWDOWN, completionLength} from '@fescuespool/stand-ins';
import type {Arrival, Experiment} from './experiment_types.js';
import type {Random} from './random.js';
import {createRandom, nextInterarrivalMs} from './random.js';

const WORDS =
  'tariff crate quote blade contract dock notice origin weight seal';
/** Number of requests that arrive at once in a burst. */
const BURST_SIZE = 12;

interface Conversation {
  readonly tierIndex: number;
  readonly account: string;
  text: string;
  turnsLeft: number;
  /** Whether its text has been sent, so that the next turn finds it cached. */
  hasStarted: boolean;
}

/** Samples a length within a range; long ones are rare, as in practice. */
export function sampleLength(
  random: Random,
  range: readonly [number, number],
): number {
  const [low, high] = range;
  return Math.round(low * (high / low) ** (random() ** 2));
}

function generateText(random: Random, tokens: number): string {
  const words = WORDS.split(' ');
  const length = tokens * CHARS_PER_TOKEN;
  let text = '';
  while (text.length < length) {
    const word = words[Math.floor(random() * words.length)]!;
    text += `${word}${Math.floor(random() * 1_000)} `;
  }
  return text.slice(0, length);
}

function sampleTierIndex(random: Random, experiment: Experiment): number {
  const total = experiment.tiers.reduce((sum, tier) => sum + tier.share, 0);
  let remainder = random() * total;
  for (const [index, tier] of experiment.tiers.entries()) {
    remainder -= tier.share;
    if (remainder < 0) return index;
  }
  return experiment.tiers.length - 1;
}

/** Returns the client accounts of a tier: one large and two small. */
export function tierAccounts(tier: string): string[] {
  return [`${tier}-large`, `${tier}-small-1`, `${tier}-small-2`];
}

/**
 * Estimates the slot time in seconds of a request on an average engine, which
 * computes `newTokens` of the prompt and has the rest cached.
 */
function estimateCostSeconds(
  prompt: string,
  maxTokens: number,
  newTokens: number,
  experiment: Experiment,
): number {
  const {engines} = experiment;
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const decodeRate = engines.reduce(
    (sum, engine) => sum + engine.slots * engine.decodeTokensPerSecond,
    0,
  );
  const prefillRate = engines.reduce(
    (sum, engine) => sum + engine.prefillTokensPerSecond,
    0,
  );
  const output = completionLength(`user:${prompt}\n`, maxTokens);
  const tokenSeconds = (slots * (1 + BATCH_SLOWDOWN)) / decodeRate;
  return output * tokenSeconds + (newTokens * engines.length) / prefillRate;
}

/**
 * Generates the arrivals of an experiment at a load. The arrival rate follows
 * from the slots and the mean slot time of a request with every prefix cached.
 */
export function makeArrivals(experiment: Experiment, load: number): Arrival[] {
  const random = createRandom(experiment.seed);
  const conversations: Conversation[] = [];
  const startConversation = (): Conversation => {
    const tierIndex = sampleTierIndex(random, experiment);
    const accounts = tierAccounts(experiment.tiers[tierIndex]!.tier);
    const accountDraw = random();
    const account =
      accounts[accountDraw < 0.7 ? 0 : accountDraw < 0.85 ? 1 : 2]!;
    const opening = sampleLength(random, experiment.openingTokens);
    const [fewest, most] = experiment.turns;
    const turnsLeft = fewest + Math.floor(random() * (most - fewest + 1));
    const text = generateText(random, opening);
    return {tierIndex, account, text, turnsLeft, hasStarted: false};
  };
  for (let i = 0; i < experiment.conversations; i++)
    conversations.push(startConversation());
  const durationMs = experiment.warmUpMs + experiment.measureMs;
  const nextRequest = (): Omit<Arrival, 'atMs'> => {
    const index = Math.floor(random() * conversations.length);
    if (conversations[index]!.turnsLeft <= 0)
      conversations[index] = startConversation();
    const conversation = conversations[index]!;
    const turn = generateText(
      random,
      sampleLength(random, experiment.turnTokens),
    );
    const cachedChars = conversation.hasStarted ? conversation.text.length : 0;
    conversation.hasStarted = true;
    conversation.text += turn;
    conversation.turnsLeft--;
    const tier = experiment.tiers[conversation.tierIndex]!;
    const maxTokens = sampleLength(random, experiment.maxTokens);
    const newTokens =
      (conversation.text.length - cachedChars) / CHARS_PER_TOKEN;
    return {
      tier: tier.tier,
      account: conversation.account,
      prompt: conversation.text,
      maxTokens,
      deadlineMs: tier.deadlineMs,
      costSeconds: estimateCostSeconds(
        conversation.text,
        maxTokens,
        newTokens,
        experiment,
      ),
    };
  };
  const slots = totalSlots(experiment);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const isBurst = random() < experiment.burstShare / BURST_SIZE;
    let cost = 0;
    for (let i = 0; i < (isBurst ? BURST_SIZE : 1); i++) {
      const arrival = nextRequest();
      cost += arrival.costSeconds;
      arrivals.push({...arrival, atMs});
    }
    atMs += nextInterarrivalMs(random, (slots * load) / cost);
  }
  return arrivals;
}

/** Returns the number of slots of all engines of an experiment. */
export function totalSlots(experiment: Experiment): number {
  return experiment.engines.reduce((sum, engine) => sum + engine.slots, 0);
}

/**
 * Counts the prompt tokens that must be computed at least once: each distinct
 * prefix block, and what follows the last full block of each prompt.
 */
export function countUniqueTokens(prompts: readonly string[]): number {
  const seenHashes = new Set<string>();
  let tokens = 0;
  for (const prompt of prompts) {
    const hashes = hashPrefixBlocks(prompt);
    tokens += estimateTokens(prompt) - hashes.length * PREFIX_BLOCK_TOKENS;
    for (const hash of hashes) {
      if (!seenHashes.has(hash)) tokens += PREFIX_BLOCK_TOKENS;
      seenHashes.add(hash);
    }
  }
  return tokens;
}
