import {RUN_END} from '../constants.js';
import type {EndReport, GrantRequest, PromptPart} from '../types.js';
import type {ActiveRun, UpstreamState} from '../upstream_state.js';
import {PrefixCache} from './prefix_cache.js';

/** Memory for prompts and running requests that an upstream is taken to have. */
const DEFAULT_MEMORY_TOKENS = 262_144;

/** Most parts of prompts that are remembered of one upstream. */
const MAX_PARTS_PER_UPSTREAM = 256;

/**
 * What reading the held tokens takes, relative to the expected start, from
 * which on a late start shows that they were read again.
 */
const MIN_TELLING_RATIO = 1;

/** Ends of runs after which an upstream may have started anew. */
const MEMORY_LOST_ENDS: ReadonlySet<string> = new Set([
  RUN_END.REPLACED,
  RUN_END.UNREACHABLE,
]);

const PART_READER = {
  idOf: ({id}: PromptPart) => id,
  tokensOf: ({tokens}: PromptPart) => tokens,
};

/** Tokens of a request's prompt that an upstream need not read. */
export type HeldTokens = (
  state: UpstreamState,
  request: GrantRequest,
) => number;

/** Tokens of a prompt that the chosen upstream and others hold. */
export interface HeldPrompt {
  /** Tokens that the chosen upstream need not read. */
  readonly heldTokens: number;
  /** Tokens that it reads although another upstream holds them. */
  readonly rereadTokens: number;
}

/** Expected milliseconds that reading tokens takes at an upstream. */
interface PrefillEstimate {
  prefillMs(state: UpstreamState, promptTokens: number): number;
}

/** A granted prompt, until its run ends. */
interface GrantedPrompt {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly heldTokens: number;
  /** Milliseconds that reading the held tokens would take. */
  readonly savedMs: number;
  hasStarted: boolean;
}

/** What one life of an upstream holds. */
interface UpstreamMemory {
  readonly cache: PrefixCache<PromptPart>;
  /** Prompts by the ids of their requests. */
  readonly prompts: Map<string, GrantedPrompt>;
}

/** The parts that lie within the stated length of the prompt. */
function partsWithin({
  promptParts,
  promptTokens,
}: GrantRequest): readonly PromptPart[] {
  let left = promptTokens;
  const end = promptParts.findIndex(({tokens}) => (left -= tokens) < 0);
  return end === -1 ? promptParts : promptParts.slice(0, end);
}

/**
 * Remembers which parts of prompts the upstreams of a queue still hold. Parts
 * count from the first byte of a response, since a granted request may be
 * rejected before it is read. What runs at an upstream takes memory from them.
 */
export class PromptPrefixes {
  /** Tokens that were taken to be held, but were read again. */
  disprovedTokens = 0;
  private readonly memories = new WeakMap<UpstreamState, UpstreamMemory>();

  constructor(private readonly latency: PrefillEstimate) {}

  /** Tokens of a request's prompt that an upstream need not read. */
  readonly heldTokens: HeldTokens = (state, {promptParts, promptTokens}) => {
    if (promptParts.length === 0) return 0;
    const cached = this.memories.get(state)?.cache.cachedTokens(promptParts);
    return Math.min(cached ?? 0, promptTokens);
  };

  /** Number of parts that are taken to be held at an upstream. */
  partCount(state: UpstreamState): number {
    return this.memories.get(state)?.cache.size ?? 0;
  }

  /** Records that a request was granted an upstream, one of `states`. */
  recordGrant(
    state: UpstreamState,
    request: GrantRequest,
    states: Iterable<UpstreamState>,
  ): HeldPrompt {
    const {promptParts, promptTokens, requestId} = request;
    if (promptParts.length === 0) return {heldTokens: 0, rereadTokens: 0};
    const heldTokens = this.heldTokens(state, request);
    let mostHeld = heldTokens;
    for (const other of states) {
      mostHeld = Math.max(mostHeld, this.heldTokens(other, request));
    }
    const memory = this.memoryOf(state);
    this.dropEnded(memory, state);
    memory.prompts.set(requestId, {
      parts: partsWithin(request),
      promptTokens,
      outputTokens: request.outputTokens ?? 0,
      heldTokens,
      savedMs: this.latency.prefillMs(state, heldTokens),
      hasStarted: false,
    });
    this.resize(memory);
    return {heldTokens, rereadTokens: mostHeld - heldTokens};
  }

  /**
   * Records that a response began `startMs` after its send; returns the tokens
   * that the upstream seems to have read for it.
   */
  recordStart(state: UpstreamState, run: ActiveRun, startMs: number): number {
    const memory = this.memories.get(state);
    const prompt = memory?.prompts.get(run.requestId);
    if (!memory || !prompt || prompt.hasStarted) return run.promptTokens;
    const {savedMs, heldTokens, promptTokens, parts} = prompt;
    const isTelling = savedMs > MIN_TELLING_RATIO * run.expectedStartMs;
    const isDisproved = isTelling && startMs >= run.expectedStartMs + savedMs;
    if (isDisproved) {
      this.disprovedTokens += heldTokens;
      memory.cache.evictUpTo(parts);
    }
    this.markRead(memory, prompt);
    return isDisproved ? promptTokens : promptTokens - heldTokens;
  }

  /** Records the end of a run. */
  recordEnd(state: UpstreamState, {requestId, end}: EndReport): void {
    const memory = this.memories.get(state);
    if (!memory) return;
    const prompt = memory.prompts.get(requestId);
    if (prompt && end === RUN_END.COMPLETED) this.markRead(memory, prompt);
    memory.prompts.delete(requestId);
    if (MEMORY_LOST_ENDS.has(end)) memory.cache.clear();
  }

  private memoryOf(state: UpstreamState): UpstreamMemory {
    const existing = this.memories.get(state);
    if (existing) return existing;
    const cache = new PrefixCache(
      PART_READER,
      DEFAULT_MEMORY_TOKENS,
      MAX_PARTS_PER_UPSTREAM,
    );
    const memory = {cache, prompts: new Map<string, GrantedPrompt>()};
    this.memories.set(state, memory);
    return memory;
  }

  /** Makes the parts of a prompt the most recently used ones. */
  private markRead(memory: UpstreamMemory, prompt: GrantedPrompt): void {
    prompt.hasStarted = true;
    this.resize(memory);
    memory.cache.insert(prompt.parts);
  }

  /** Leaves to the cache what running requests don't need. */
  private resize({cache, prompts}: UpstreamMemory): void {
    let tokens = DEFAULT_MEMORY_TOKENS;
    for (const prompt of prompts.values()) {
      tokens -= prompt.outputTokens;
      // The prompt itself is in the cache once it has been read.
      if (!prompt.hasStarted) tokens -= prompt.promptTokens - prompt.heldTokens;
    }
    cache.resize(Math.max(0, tokens));
  }

  /** Drops the prompts of runs that ended without a report. */
  private dropEnded({prompts}: UpstreamMemory, {runs}: UpstreamState): void {
    for (const id of prompts.keys()) if (!runs.has(id)) prompts.delete(id);
  }
}
