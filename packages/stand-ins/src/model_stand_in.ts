import {MS_PER_SECOND} from '@fescuespool/common';
import {
  CHAT_REQUEST_SCHEMA,
  DEFAULT_MAX_TOKENS,
  formatSseEvent,
  HEADER,
  promptText,
  SSE_DONE,
  UPSTREAM_PATH,
} from '@fescuespool/protocol';
import {writeWithBackpressure} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {CONTROL_PATH, CRASH_MARKER} from './constants.js';
import {sendJson, startStandInServer} from './control_server.js';
import {ExecutionLog} from './execution_log.js';
import {EngineStream, ModelEngine} from './model_engine.js';
import {FencedOrderLog} from './fenced_order_log.js';
import {PrefixCache} from './prefix_cache.js';
import type {StandIn} from './types.js';

/** Schema of the settings of a model upstream. */
export const MODEL_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
  slots: z.number().int().default(8),
  prefillTokensPerSecond: z.number().default(5_000),
  decodeTokensPerSecond: z.number().default(50),
  cacheTokens: z.number().int().default(65_536),
  /** Milliseconds by which the reported number of running requests lags. */
  loadLagMs: z.number().default(300),
  /** Share of the cache's eviction events that are lost. */
  eventLoss: z.number().min(0).max(1).default(0.1),
  /** Whether orders with an outdated fencing token are rejected. */
  checksFencing: z.boolean().default(true),
});

/** Schema of the faults that can be set on a model upstream. */
export const MODEL_FAULTS_SCHEMA = z.object({
  /** Factor by which the engine is slowed down. */
  slowdown: z.number().positive().optional(),
  /** Reported with the load: the upstream is leaving. */
  leaving: z.boolean().optional(),
  /** Number of requests that are rejected as not accepted, without running. */
  refuseNext: z.number().optional(),
  /** Number of requests whose connection is closed after some tokens. */
  cutNext: z.number().optional(),
  /** Source addresses whose connections are closed. */
  blockedSources: z.array(z.string()).optional(),
});

/** Faults that can be set on a model upstream. */
export type ModelFaults = z.infer<typeof MODEL_FAULTS_SCHEMA>;

const TOKENS_BEFORE_DISCONNECT = 3;

interface StreamRequest {
  readonly stream: EngineStream;
  readonly model: string;
  /** Number of tokens that the caller already has. */
  readonly offset: number;
  readonly disconnectAfterTokens: number | null;
}

function formatChunk(
  request: StreamRequest,
  delta: object,
  finishReason: string | null,
  usage?: object,
): string {
  return JSON.stringify({
    id: `chatcmpl-${request.stream.record.requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(Date.now() / MS_PER_SECOND),
    model: request.model,
    choices: [{index: 0, delta, finish_reason: finishReason}],
    ...(usage ? {usage} : {}),
  });
}

function formatUsage(stream: EngineStream): object {
  return {
    prompt_tokens: stream.promptTokens,
    completion_tokens: stream.tokens.length,
    total_tokens: stream.promptTokens + stream.tokens.length,
    prompt_tokens_details: {cached_tokens: stream.cachedTokens},
  };
}

async function sendStream(
  request: StreamRequest,
  res: ServerResponse,
): Promise<void> {
  const {stream} = request;
  res.writeHead(200, {'content-type': 'text/event-stream'});
  res.flushHeaders();
  let sentCount = request.offset;
  for (;;) {
    while (sentCount < stream.tokens.length) {
      const content = stream.tokens[sentCount]!;
      const data = formatChunk(request, {content}, null);
      sentCount++;
      const canContinue = await writeWithBackpressure(
        res,
        formatSseEvent(data, String(sentCount)),
      );
      if (!canContinue) return;
      if (
        request.disconnectAfterTokens !== null &&
        sentCount >= request.disconnectAfterTokens
      ) {
        res.socket?.destroy();
        return;
      }
    }
    if (stream.isEnded) break;
    await stream.waitForChange();
  }
  if (stream.isCancelled) {
    res.socket?.destroy();
    return;
  }
  res.write(
    formatSseEvent(formatChunk(request, {}, 'stop', formatUsage(stream))),
  );
  res.end(formatSseEvent(SSE_DONE));
}

/**
 * Starts a server that emulates a model upstream; the faults are set over its
 * control interface.
 */
export async function startModelStandIn(
  settings: z.infer<typeof MODEL_SETTINGS_SCHEMA>,
): Promise<StandIn> {
  let faults: ModelFaults = {};
  const executionLog = new ExecutionLog();
  const orderLog = new FencedOrderLog(settings.checksFencing);
  const cache = new PrefixCache(
    settings.cacheTokens,
    () => Math.random() < settings.eventLoss,
  );
  const engine = new ModelEngine(settings, cache, stream =>
    executionLog.finish(
      stream.record,
      stream.isCancelled ? 'cancelled' : 'completed',
    ),
  );
  const loadHistory: Array<{readonly atMs: number; readonly running: number}> =
    [];

  const delayedLoad = (): object => {
    const now = Date.now();
    loadHistory.push({atMs: now, running: engine.running});
    while (
      loadHistory.length > 1 &&
      now - loadHistory[1]!.atMs >= settings.loadLagMs
    ) {
      loadHistory.shift();
    }
    return {
      running: loadHistory[0]?.running ?? 0,
      queuedTokens: engine.queuedTokens,
      leaving: faults.leaving ?? false,
      evicted: cache.takeEvicted(),
    };
  };

  const startChat = async (
    body: Buffer,
    requestId: string,
    res: ServerResponse,
  ): Promise<void> => {
    const remainingRefusals = faults.refuseNext ?? 0;
    if (remainingRefusals > 0) {
      faults = {...faults, refuseNext: remainingRefusals - 1};
      res.writeHead(503, {[HEADER.NOT_ACCEPTED]: 'true'});
      res.end();
      return;
    }
    const chatRequest = CHAT_REQUEST_SCHEMA.parse(JSON.parse(body.toString()));
    const prompt = promptText(chatRequest);
    const record = executionLog.start(requestId, 'chat', body);
    if (prompt.includes(CRASH_MARKER)) process.exit(1);
    const maxTokens =
      chatRequest.max_completion_tokens ??
      chatRequest.max_tokens ??
      DEFAULT_MAX_TOKENS;
    const stream = new EngineStream(record, prompt, maxTokens);
    engine.submit(stream);
    const remainingCuts = faults.cutNext ?? 0;
    if (remainingCuts > 0) faults = {...faults, cutNext: remainingCuts - 1};
    const disconnectAfterTokens =
      remainingCuts > 0 ? TOKENS_BEFORE_DISCONNECT : null;
    const {model} = chatRequest;
    await sendStream({stream, model, offset: 0, disconnectAfterTokens}, res);
  };

  const resumeOrCancel = async (
    method: string,
    url: URL,
    res: ServerResponse,
  ): Promise<void> => {
    const requestId = url.pathname.slice(UPSTREAM_PATH.STREAMS.length);
    const stream = engine.streams.get(decodeURIComponent(requestId));
    if (!stream) {
      sendJson(res, {error: 'no such stream'}, 404);
      return;
    }
    if (method === 'DELETE') {
      engine.cancel(stream);
      sendJson(res, {cancelled: stream.isCancelled});
      return;
    }
    const offset = Number(url.searchParams.get('offset') ?? 0);
    const model = 'resumed';
    await sendStream({stream, model, offset, disconnectAfterTokens: null}, res);
  };

  return startStandInServer({
    host: settings.host,
    port: settings.port,
    isBlocked: source => faults.blockedSources?.includes(source) ?? false,
    handleControl: (path, body) => {
      if (path === CONTROL_PATH.RECORDS) return executionLog.records;
      if (path === CONTROL_PATH.FAULTS) {
        const patch = MODEL_FAULTS_SCHEMA.parse(JSON.parse(body.toString()));
        faults = {...faults, ...patch};
        engine.slowdown = faults.slowdown ?? 1;
      }
      return {running: engine.running, orders: orderLog.applied};
    },
    handleRequest: async (body, req, res) => {
      const url = new URL(req.url ?? '/', 'http://engine');
      const requestId = String(req.headers[HEADER.REQUEST_ID] ?? '');
      if (url.pathname === UPSTREAM_PATH.LOAD) sendJson(res, delayedLoad());
      else if (url.pathname.startsWith(UPSTREAM_PATH.STREAMS)) {
        await resumeOrCancel(req.method ?? 'GET', url, res);
      } else if (url.pathname === '/orders') {
        const isAccepted = orderLog.apply(JSON.parse(body.toString()));
        sendJson(res, {taken: isAccepted}, isAccepted ? 200 : 409);
      } else await startChat(body, requestId, res);
    },
  });
}
