import {sleep} from '@fescuespool/common';
import {OUTCOME, REFUSAL_REASON, RELEASE_KIND} from '@fescuespool/coordination';
import type {Outcome, ReleaseKind} from '@fescuespool/coordination';
import type {ChatChunk} from '@fescuespool/protocol';
import {
  CHAT_CHUNK_SCHEMA,
  CHAT_COMPLETIONS_PATH,
  HEADER,
  RefusalError,
  SSE_DONE,
  SseParser,
} from '@fescuespool/protocol';
import type {CallError, HttpExchange} from '@fescuespool/transport';
import {openExchange} from '@fescuespool/transport';
import type {Result} from 'neverthrow';
import type {ChatSink} from './chat_sink.js';
import {
  FIRST_PROGRESS_DELAY_MS,
  MAX_RESUME_ATTEMPTS,
  RESUME_BACKOFF_MS,
  STREAM_IDLE_TIMEOUT_MS,
} from './constants.js';
import type {RunResult, UpstreamGrant} from './dispatch.js';
import {abortRefusal, NOT_ACCEPTED_RESULT} from './dispatch.js';
import type {RequestScope} from './request_scope.js';
import type {DaemonContext} from './types.js';
import {cancelStream, streamUrl, withLocalAddress} from './upstream_client.js';

const OK = 200;
const NOT_FOUND = 404;

/** Ways in which reading a stream ends. */
const STREAM_END = {
  DONE: 'done',
  BROKEN: 'broken',
  CALLER_GONE: 'caller_gone',
} as const;

type StreamEnd = (typeof STREAM_END)[keyof typeof STREAM_END];

/** Inputs of a chat completion run. */
export interface ChatRunOptions {
  readonly context: DaemonContext;
  readonly scope: RequestScope;
  readonly grant: UpstreamGrant;
  /** Request body for the upstream; it always requests a stream. */
  readonly body: string;
  readonly sink: ChatSink;
  /**
   * Called with null at the first token, then at doubling intervals with the
   * mean time in milliseconds between tokens since the last call.
   */
  readonly onProgress: (tokenIntervalMs: number | null) => void;
}

/** One attempt to run a chat completion at an upstream. */
export class ChatRun {
  private readonly startedAtMs: number;
  private firstTokenAtMs: number | null = null;
  private lastTokenAtMs: number | null = null;
  /**
   * Number of content chunks received: the offset to resume a broken stream at.
   */
  private receivedChunks = 0;
  private usage: ChatChunk['usage'] = null;
  private hasUpstreamDied = false;
  /** Time and number of tokens at the last progress report. */
  private lastReport = {atMs: 0, tokens: 0};
  private reportIntervalMs: number = FIRST_PROGRESS_DELAY_MS;

  constructor(private readonly options: ChatRunOptions) {
    this.startedAtMs = options.context.clock.monotonicMs();
  }

  /** Runs the request and forwards the response to the sink. */
  async run(): Promise<RunResult> {
    const {grant, scope} = this.options;
    const {signal} = scope.openRequest.controller;
    const opened = grant.isJoined ? await this.resume() : await this.submit();
    if (signal.aborted) return this.cancel(opened);
    if (opened.isErr()) {
      if (opened.error.isUnsent && !grant.isJoined) {
        return NOT_ACCEPTED_RESULT;
      }
      this.detectUpstreamDeath(opened.error);
      return this.readOrResume(null);
    }
    const {res} = opened.value;
    if (res.headers[HEADER.NOT_ACCEPTED] === 'true') {
      res.resume();
      return NOT_ACCEPTED_RESULT;
    }
    if (res.statusCode !== OK) {
      res.resume();
      return this.fail(`the upstream responded with status ${res.statusCode}`);
    }
    return this.readOrResume(opened.value);
  }

  /**
   * Reads the stream to its end, resuming it each time the connection breaks.
   */
  private async readOrResume(
    firstExchange: HttpExchange | null,
  ): Promise<RunResult> {
    let exchange = firstExchange;
    const {signal} = this.options.scope.openRequest.controller;
    for (let attempts = 0; ; attempts++) {
      if (exchange) {
        const end = await this.readStream(exchange);
        exchange.abort();
        if (end === STREAM_END.DONE) return this.complete();
        if (end === STREAM_END.CALLER_GONE || signal.aborted) {
          return this.cancel(null);
        }
      }
      if (attempts >= MAX_RESUME_ATTEMPTS || this.hasUpstreamDied) {
        return this.fail(
          'the stream from the upstream broke and could not be resumed',
        );
      }
      await sleep(RESUME_BACKOFF_MS * attempts, signal);
      this.options.context.metrics.increment('retry', {reason: 'resume'});
      const opened = await this.resume();
      if (opened.isErr()) this.detectUpstreamDeath(opened.error);
      exchange = opened.isOk() ? this.checkResumed(opened.value) : null;
    }
  }

  private async readStream(exchange: HttpExchange): Promise<StreamEnd> {
    const parser = new SseParser();
    const {sink, scope} = this.options;
    const {signal} = scope.openRequest.controller;
    const abort = (): void => exchange.abort();
    signal.addEventListener('abort', abort, {once: true});
    exchange.res.setEncoding('utf8');
    exchange.res.setTimeout(STREAM_IDLE_TIMEOUT_MS, abort);
    try {
      for await (const text of exchange.res as AsyncIterable<string>) {
        for (const event of parser.push(text)) {
          if (event.data === SSE_DONE) return STREAM_END.DONE;
          const chunk = CHAT_CHUNK_SCHEMA.parse(
            JSON.parse(event.data),
          ) as ChatChunk;
          this.recordChunk(chunk);
          if (!(await sink.writeChunk(event.data, chunk))) {
            return STREAM_END.CALLER_GONE;
          }
        }
      }
      return STREAM_END.BROKEN;
    } catch {
      return STREAM_END.BROKEN;
    } finally {
      signal.removeEventListener('abort', abort);
    }
  }

  private recordChunk(chunk: ChatChunk): void {
    this.usage = chunk.usage ?? this.usage;
    if (chunk.choices?.[0]?.delta?.content == null) return;
    this.receivedChunks++;
    this.lastTokenAtMs = this.options.context.clock.monotonicMs();
    if (this.firstTokenAtMs === null) {
      this.firstTokenAtMs = this.lastTokenAtMs;
      this.lastReport = {atMs: this.lastTokenAtMs, tokens: this.receivedChunks};
      this.options.onProgress(null);
    } else {
      this.reportTokenInterval(this.lastTokenAtMs);
    }
  }

  private reportTokenInterval(nowMs: number): void {
    const {atMs, tokens} = this.lastReport;
    const elapsedMs = nowMs - atMs;
    if (elapsedMs < this.reportIntervalMs) return;
    this.options.onProgress(
      elapsedMs / Math.max(1, this.receivedChunks - tokens),
    );
    this.lastReport = {atMs: nowMs, tokens: this.receivedChunks};
    this.reportIntervalMs *= 2;
  }

  private submit(): Promise<Result<HttpExchange, CallError>> {
    const {context, grant, body, scope} = this.options;
    return openExchange(
      withLocalAddress(context, {
        url: grant.url + CHAT_COMPLETIONS_PATH,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          [HEADER.REQUEST_ID]: grant.upstreamRequestId,
        },
        body,
        responseTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
        signal: scope.openRequest.controller.signal,
      }),
    );
  }

  private resume(): Promise<Result<HttpExchange, CallError>> {
    const {context, grant, scope} = this.options;
    const url = streamUrl(grant.url, grant.upstreamRequestId);
    return openExchange(
      withLocalAddress(context, {
        url: `${url}?offset=${this.receivedChunks}`,
        method: 'GET',
        responseTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
        signal: scope.openRequest.controller.signal,
      }),
    );
  }

  private checkResumed(exchange: HttpExchange): HttpExchange | null {
    if (exchange.res.statusCode === OK) return exchange;
    // An upstream that has no such stream has restarted since.
    if (exchange.res.statusCode === NOT_FOUND) this.hasUpstreamDied = true;
    exchange.res.resume();
    return null;
  }

  private detectUpstreamDeath(error: CallError): void {
    if (error.message.includes('ECONNREFUSED')) this.hasUpstreamDied = true;
  }

  private complete(): RunResult {
    this.options.sink.finish();
    return this.makeResult(RELEASE_KIND.COMPLETED, null);
  }

  private cancel(opened: Result<HttpExchange, CallError> | null): RunResult {
    const {context, grant, scope} = this.options;
    const isUnsent = opened?.isErr() === true && opened.error.isUnsent;
    if (isUnsent) {
      const refusal = abortRefusal(scope, OUTCOME.NOT_RUN);
      return this.makeResult(RELEASE_KIND.NOT_ACCEPTED, refusal);
    }
    // A joined stream is left running for the request that started it.
    if (!grant.isJoined) {
      void cancelStream(context, grant.url, grant.upstreamRequestId);
    }
    const refusal = abortRefusal(scope, this.outcome());
    return this.makeResult(RELEASE_KIND.CANCELLED, refusal);
  }

  private fail(detail: string): RunResult {
    const kind = this.hasUpstreamDied
      ? RELEASE_KIND.UPSTREAM_DIED
      : RELEASE_KIND.FAILED;
    const {UPSTREAM_FAILED} = REFUSAL_REASON;
    const refusal = new RefusalError(UPSTREAM_FAILED, this.outcome(), detail);
    return this.makeResult(kind, refusal);
  }

  private outcome(): Outcome {
    return this.receivedChunks > 0 ? OUTCOME.PARTLY_RUN : OUTCOME.MAY_HAVE_RUN;
  }

  private makeResult(
    kind: ReleaseKind,
    refusal: RefusalError | null,
  ): RunResult {
    const firstAtMs = this.firstTokenAtMs;
    const lastAtMs = this.lastTokenAtMs;
    const cachedTokens = this.usage?.prompt_tokens_details?.cached_tokens ?? 0;
    const promptTokens = this.usage?.prompt_tokens;
    return {
      kind,
      firstTokenMs: firstAtMs === null ? null : firstAtMs - this.startedAtMs,
      decodeMs:
        firstAtMs === null || lastAtMs === null ? null : lastAtMs - firstAtMs,
      outputTokens: this.receivedChunks,
      computedPromptTokens:
        promptTokens === undefined ? null : promptTokens - cachedTokens,
      refusal,
    };
  }
}
