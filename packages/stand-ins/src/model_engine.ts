import {MS_PER_SECOND, sha256Hex} from '@fescuespool/common';
import {estimateTokens, hashPrefixBlocks} from '@fescuespool/coordination';
import {completionLength, completionToken} from './completion.js';
import {
  BATCH_SLOWDOWN,
  ENGINE_STEP_MS,
  STREAM_RETENTION_MS,
} from './constants.js';
import type {PrefixCache} from './prefix_cache.js';
import type {ExecutionRecord} from './types.js';

/** Batch size and speeds of an emulated engine. */
export interface EngineSpec {
  /** Maximum number of requests in the batch. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** A request in the emulated engine and the tokens that it has produced. */
export class EngineStream {
  readonly tokens: string[] = [];
  readonly promptTokens: number;
  /** Number of tokens that the complete output has. */
  readonly outputLength: number;
  readonly promptHash: string;
  /** Prompt tokens that were found in the prefix cache. */
  cachedTokens = 0;
  /** Prompt tokens still to compute; null until a slot is free. */
  remainingPrefillTokens: number | null = null;
  /** Decoded tokens not emitted yet; a fraction stays for the next step. */
  pendingDecodeTokens = 0;
  isCancelled = false;
  /** Monotonic time of the end in milliseconds, also of a cancelled request. */
  finishedAtMs: number | null = null;
  private waiters: Array<() => void> = [];

  constructor(
    readonly record: ExecutionRecord,
    readonly prompt: string,
    maxTokens: number,
  ) {
    this.promptTokens = estimateTokens(prompt);
    this.outputLength = completionLength(prompt, maxTokens);
    this.promptHash = sha256Hex(prompt);
    record.promptTokens = this.promptTokens;
  }

  /** Whether no more tokens will be produced. */
  get isEnded(): boolean {
    return this.isCancelled || this.finishedAtMs !== null;
  }

  /** Resolves when tokens have been produced or the stream has ended. */
  waitForChange(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /** Resolves the promises of all pending `waitForChange` calls. */
  notifyWaiters(): void {
    const {waiters} = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }
}

/**
 * Emulates continuous batching: requests are admitted as they arrive, prefill
 * is computed in order, and each step produces tokens for all decoding streams.
 */
export class ModelEngine {
  /** Streams by request id; ended ones are kept for STREAM_RETENTION_MS. */
  readonly streams = new Map<string, EngineStream>();
  /** Factor by which prefill and decode are slowed down. */
  slowdown = 1;
  private readonly waiting: EngineStream[] = [];
  private readonly active = new Set<EngineStream>();
  private lastStepMs = performance.now();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly spec: EngineSpec,
    private readonly cache: PrefixCache,
    private readonly onEnd: (stream: EngineStream) => void,
  ) {
    this.timer = setInterval(() => this.step(), ENGINE_STEP_MS);
  }

  /** Number of requests that have a slot. */
  get running(): number {
    return this.active.size;
  }

  /** Prompt tokens whose prefill has not been computed. */
  get queuedTokens(): number {
    const waiting = this.waiting.reduce(
      (sum, stream) => sum + stream.promptTokens,
      0,
    );
    const active = [...this.active].reduce(
      (sum, stream) => sum + (stream.remainingPrefillTokens ?? 0),
      0,
    );
    return Math.round(waiting + active);
  }

  /** Queues a request, which starts when a slot is free. */
  submit(stream: EngineStream): void {
    this.streams.set(stream.record.requestId, stream);
    this.waiting.push(stream);
    this.admit();
  }

  /** Cancels a request that has not ended. */
  cancel(stream: EngineStream): void {
    if (stream.isEnded) return;
    stream.isCancelled = true;
    const index = this.waiting.indexOf(stream);
    if (index >= 0) this.waiting.splice(index, 1);
    this.end(stream);
  }

  /** Stops the engine. */
  close(): void {
    clearInterval(this.timer);
  }

  private admit(): void {
    while (this.active.size < this.spec.slots) {
      const stream = this.waiting.shift();
      if (!stream) return;
      const hashes = hashPrefixBlocks(stream.prompt);
      stream.cachedTokens = Math.min(
        this.cache.lookUpAndInsert(hashes),
        stream.promptTokens - 1,
      );
      stream.remainingPrefillTokens = stream.promptTokens - stream.cachedTokens;
      this.active.add(stream);
    }
  }

  private step(): void {
    const now = performance.now();
    const seconds = (now - this.lastStepMs) / MS_PER_SECOND / this.slowdown;
    this.lastStepMs = now;
    this.prefill(seconds);
    this.decode(seconds);
    this.admit();
    this.removeExpiredStreams(now);
  }

  private prefill(seconds: number): void {
    let tokenBudget = seconds * this.spec.prefillTokensPerSecond;
    for (const stream of this.active) {
      if (tokenBudget <= 0) return;
      const remaining = stream.remainingPrefillTokens ?? 0;
      if (remaining <= 0) continue;
      const computed = Math.min(remaining, tokenBudget);
      stream.remainingPrefillTokens = remaining - computed;
      stream.record.computedTokens += computed;
      tokenBudget -= computed;
    }
  }

  private decode(seconds: number): void {
    const batchFactor =
      1 + BATCH_SLOWDOWN * (this.active.size / this.spec.slots);
    const tokens = (seconds * this.spec.decodeTokensPerSecond) / batchFactor;
    for (const stream of [...this.active]) {
      if ((stream.remainingPrefillTokens ?? 1) > 0) continue;
      // The end of the prefill produces the first token.
      stream.pendingDecodeTokens += stream.tokens.length === 0 ? 1 : tokens;
      this.emitTokens(stream);
    }
  }

  private emitTokens(stream: EngineStream): void {
    const count = Math.floor(stream.pendingDecodeTokens);
    if (count === 0) return;
    stream.pendingDecodeTokens -= count;
    for (
      let i = 0;
      i < count && stream.tokens.length < stream.outputLength;
      i++
    ) {
      const position = stream.tokens.length;
      stream.tokens.push(completionToken(stream.promptHash, position));
      stream.record.outputTokens++;
    }
    if (stream.tokens.length >= stream.outputLength) this.end(stream);
    else stream.notifyWaiters();
  }

  private end(stream: EngineStream): void {
    this.active.delete(stream);
    stream.finishedAtMs = performance.now();
    this.onEnd(stream);
    stream.notifyWaiters();
    this.admit();
  }

  private removeExpiredStreams(now: number): void {
    for (const [id, stream] of this.streams) {
      const {finishedAtMs} = stream;
      if (finishedAtMs === null || now - finishedAtMs < STREAM_RETENTION_MS)
        continue;
      this.streams.delete(id);
    }
  }
}
