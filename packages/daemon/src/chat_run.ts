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
import {CALL_ERROR_KIND, openExchange} from '@fescuespool/transport';
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

/** How reading a stream ended. */
const STREAM_END = {
  DONE: 'done',
  BROKEN: 'broken',
  CALLER_GONE: 'caller_gone',
} as const;

type StreamEnd = (typeof STREAM_END)[keyof typeof STREAM_END];

/** What a run of a chat completion needs. */
export interface ChatRunOptions {
  readonly context: DaemonContext;
  readonly scope: RequestScope;
  readonly grant: UpstreamGrant;
  /** Body for the upstream, which always streams. */
  readonly body: string;
  readonly sink: ChatSink;
  /**
   * Called at the first token with null, then ever more rarely with the mean
   * time in milliseconds between tokens since the last call.
   */
  readonly onProgress: (tokenIntervalMs: number | null) => void;
}

/** One try of a chat completion at an upstream. */
export class ChatRun {
  private readonly startedAtMs: number;
  private firstTokenAtMs: number | null = null;
  private lastTokenAtMs: number | null = null;
  /** Content chunks received, by which a broken stream is resumed. */
  private received = 0;
  private usage: ChatChunk['usage'] = null;
  private hasDied = false;
  /** Time and tokens at the last report of progress. */
  private reported = {atMs: 0, tokens: 0};
  private reportAfterMs: number = FIRST_PROGRESS_DELAY_MS;

  constructor(private readonly options: ChatRunOptions) {
    this.startedAtMs = options.context.clock.monotonicMs();
  }

  /** Runs the request and passes the answer on. */
  async run(): Promise<RunResult> {
    const {grant, scope} = this.options;
    const {signal} = scope.openRequest.controller;
    const opened = grant.isJoined ? await this.resume() : await this.submit();
    if (signal.aborted) return this.cancelled(opened);
    if (opened.isErr()) {
      if (opened.error.kind === CALL_ERROR_KIND.NOT_SENT && !grant.isJoined) {
        return NOT_ACCEPTED_RESULT;
      }
      this.noteDeath(opened.error);
      return this.readOrResume(null);
    }
    const {res} = opened.value;
    if (res.headers[HEADER.NOT_ACCEPTED] === 'true') {
      res.resume();
      return NOT_ACCEPTED_RESULT;
    }
    if (res.statusCode !== OK) {
      res.resume();
      return this.failed(`the upstream answered with ${res.statusCode}`);
    }
    return this.readOrResume(opened.value);
  }

  /** Reads the stream to its end, resuming it where it breaks. */
  private async readOrResume(first: HttpExchange | null): Promise<RunResult> {
    let exchange = first;
    const {signal} = this.options.scope.openRequest.controller;
    for (let tries = 0; ; tries++) {
      if (exchange) {
        const end = await this.read(exchange);
        exchange.abort();
        if (end === STREAM_END.DONE) return this.completed();
        if (end === STREAM_END.CALLER_GONE || signal.aborted) {
          return this.cancelled(null);
        }
      }
      if (tries >= MAX_RESUME_ATTEMPTS || this.hasDied) {
        return this.failed('the upstream broke the stream off');
      }
      await sleep(RESUME_BACKOFF_MS * tries, signal);
      this.options.context.metrics.increment('retry', {reason: 'resume'});
      const opened = await this.resume();
      if (opened.isErr()) this.noteDeath(opened.error);
      exchange = opened.isOk() ? this.checkResumed(opened.value) : null;
    }
  }

  private async read(exchange: HttpExchange): Promise<StreamEnd> {
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
          this.note(chunk);
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

  private note(chunk: ChatChunk): void {
    this.usage = chunk.usage ?? this.usage;
    if (chunk.choices?.[0]?.delta?.content == null) return;
    this.received++;
    this.lastTokenAtMs = this.options.context.clock.monotonicMs();
    if (this.firstTokenAtMs === null) {
      this.firstTokenAtMs = this.lastTokenAtMs;
      this.reported = {atMs: this.lastTokenAtMs, tokens: this.received};
      this.options.onProgress(null);
    } else {
      this.reportSpeed(this.lastTokenAtMs);
    }
  }

  private reportSpeed(now: number): void {
    const {atMs, tokens} = this.reported;
    const elapsedMs = now - atMs;
    if (elapsedMs < this.reportAfterMs) return;
    this.options.onProgress(elapsedMs / Math.max(1, this.received - tokens));
    this.reported = {atMs: now, tokens: this.received};
    this.reportAfterMs *= 2;
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
        url: `${url}?offset=${this.received}`,
        method: 'GET',
        responseTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
        signal: scope.openRequest.controller.signal,
      }),
    );
  }

  private checkResumed(exchange: HttpExchange): HttpExchange | null {
    if (exchange.res.statusCode === OK) return exchange;
    // An upstream that does not know the stream has restarted since.
    if (exchange.res.statusCode === NOT_FOUND) this.hasDied = true;
    exchange.res.resume();
    return null;
  }

  private noteDeath(error: CallError): void {
    if (error.message.includes('ECONNREFUSED')) this.hasDied = true;
  }

  private completed(): RunResult {
    this.options.sink.finish();
    return this.result(RELEASE_KIND.COMPLETED, null);
  }

  private cancelled(opened: Result<HttpExchange, CallError> | null): RunResult {
    const {context, grant, scope} = this.options;
    const isUnsent =
      opened?.isErr() === true &&
      opened.error.kind === CALL_ERROR_KIND.NOT_SENT;
    if (isUnsent) {
      const refusal = abortRefusal(scope, OUTCOME.NOT_RUN);
      return this.result(RELEASE_KIND.NOT_ACCEPTED, refusal);
    }
    // The stream of a joined run belongs to the request that started it.
    if (!grant.isJoined) {
      void cancelStream(context, grant.url, grant.upstreamRequestId);
    }
    const refusal = abortRefusal(scope, this.outcome());
    return this.result(RELEASE_KIND.CANCELLED, refusal);
  }

  private failed(detail: string): RunResult {
    const kind = this.hasDied
      ? RELEASE_KIND.UPSTREAM_DIED
      : RELEASE_KIND.FAILED;
    const {UPSTREAM_FAILED} = REFUSAL_REASON;
    const refusal = new RefusalError(UPSTREAM_FAILED, this.outcome(), detail);
    return this.result(kind, refusal);
  }

  private outcome(): Outcome {
    return this.received > 0 ? OUTCOME.PARTLY_RUN : OUTCOME.MAY_HAVE_RUN;
  }

  private result(kind: ReleaseKind, refusal: RefusalError | null): RunResult {
    const first = this.firstTokenAtMs;
    const last = this.lastTokenAtMs;
    const cached = this.usage?.prompt_tokens_details?.cached_tokens ?? 0;
    const prompt = this.usage?.prompt_tokens;
    return {
      kind,
      firstTokenMs: first === null ? null : first - this.startedAtMs,
      decodeMs: first === null || last === null ? null : last - first,
      outputTokens: this.received,
      computedPromptTokens: prompt === undefined ? null : prompt - cached,
      refusal,
    };
  }
}
