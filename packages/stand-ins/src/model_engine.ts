import {MS_PER_SECOND, sha256Hex} from '@fescuespool/common';
import {estimateTokens, hashPrefixBlocks} from '@fescuespool/coordination';
import {completionLength, completionToken} from './engine_answer.js';
import {
  BATCH_SLOWDOWN,
  ENGINE_STEP_MS,
  STREAM_RETENTION_MS,
} from './constants.js';
import type {PrefixCache} from './prefix_cache.js';
import type {ExecutionRecord} from './types.js';

/** Speeds and sizes of an emulated engine. */
export interface EngineSpec {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** One request inside the emulated engine. */
export class EngineStream {
  readonly tokens: string[] = [];
  readonly promptTokens: number;
  readonly outputLength: number;
  readonly promptHash: string;
  cachedTokens = 0;
  /** Prompt tokens still to compute; null until a slot is free. */
  remainingPrefillTokens: number | null = null;
  pendingDecodeTokens = 0;
  isCancelled = false;
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

  /** Whether no more tokens will come. */
  get isEnded(): boolean {
    return this.isCancelled || this.finishedAtMs !== null;
  }

  /** Resolves when a token has come or the stream is over. */
  waitForChange(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /** Wakes those who wait for a change. */
  notifyWaiters(): void {
    const {waiters} = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }
}

/**
 * Emulates continuous batching: requests are admitted as they arrive, prefill
 * is computed in order, and each step gives every decoding stream its tokens.
 */
export class ModelEngine {
  readonly streams = new Map<string, EngineStream>();
  /** Factor by which the engine is slowed down. */
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

  /** Requests that have a slot. */
  get running(): number {
    return this.active.size;
  }

  /** Prompt tokens that wait for their prefill. */
  get queuedTokens(): number {
    const waiting = this.waiting.reduce((sum, s) => sum + s.promptTokens, 0);
    const active = [...this.active].reduce(
      (sum, s) => sum + (s.remainingPrefillTokens ?? 0),
      0,
    );
    return Math.round(waiting + active);
  }

  /** Admits a request. */
  submit(stream: EngineStream): void {
    this.streams.set(stream.record.requestId, stream);
    this.waiting.push(stream);
    this.admit();
  }

  /** Cancels a request. */
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
    this.dropOld(now);
  }

  private prefill(seconds: number): void {
    let budget = seconds * this.spec.prefillTokensPerSecond;
    for (const stream of this.active) {
      if (budget <= 0) return;
      const left = stream.remainingPrefillTokens ?? 0;
      if (left <= 0) continue;
      const done = Math.min(left, budget);
      stream.remainingPrefillTokens = left - done;
      stream.record.computedTokens += done;
      budget -= done;
    }
  }

  private decode(seconds: number): void {
    const batch = 1 + BATCH_SLOWDOWN * (this.active.size / this.spec.slots);
    const tokens = (seconds * this.spec.decodeTokensPerSecond) / batch;
    for (const stream of [...this.active]) {
      if ((stream.remainingPrefillTokens ?? 1) > 0) continue;
      // The first token comes with the end of the prefill.
      stream.pendingDecodeTokens += stream.tokens.length === 0 ? 1 : tokens;
      this.emitTokens(stream);
    }
  }

  private emitTokens(stream: EngineStream): void {
    const due = Math.floor(stream.pendingDecodeTokens);
    if (due === 0) return;
    stream.pendingDecodeTokens -= due;
    for (
      let i = 0;
      i < due && stream.tokens.length < stream.outputLength;
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

  private dropOld(now: number): void {
    for (const [id, stream] of this.streams) {
      const {finishedAtMs} = stream;
      if (finishedAtMs === null || now - finishedAtMs < STREAM_RETENTION_MS)
        continue;
      this.streams.delete(id);
    }
  }
}
