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
import {FencedOrderLog} from './order_book.js';
import {PrefixCache} from './prefix_cache.js';
import type {StandIn} from './types.js';

/** Schema of an engine's settings. */
export const MODEL_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
  slots: z.number().int().default(8),
  prefillTokensPerSecond: z.number().default(5_000),
  decodeTokensPerSecond: z.number().default(50),
  cacheTokens: z.number().int().default(65_536),
  /** Lag in milliseconds of the load report. */
  loadLagMs: z.number().default(300),
  /** Share of cache events that are lost. */
  eventLoss: z.number().min(0).max(1).default(0.1),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(true),
});

/** Schema of an engine's faults. */
export const MODEL_FAULTS_SCHEMA = z.object({
  slowdown: z.number().positive().optional(),
  leaving: z.boolean().optional(),
  /** Number of requests that are refused as not accepted. */
  refuseNext: z.number().optional(),
  /** Number of requests whose connection is cut after some tokens. */
  cutNext: z.number().optional(),
  blockedSources: z.array(z.string()).optional(),
});

/** Faults of an engine. */
export type ModelFaults = z.infer<typeof MODEL_FAULTS_SCHEMA>;

const TOKENS_BEFORE_CUT = 3;

interface StreamRequest {
  readonly stream: EngineStream;
  readonly model: string;
  readonly offset: number;
  readonly cutAfter: number | null;
}

function chunkOf(
  request: StreamRequest,
  delta: object,
  finish: string | null,
  usage?: object,
): string {
  return JSON.stringify({
    id: `chatcmpl-${request.stream.record.requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(Date.now() / MS_PER_SECOND),
    model: request.model,
    choices: [{index: 0, delta, finish_reason: finish}],
    ...(usage ? {usage} : {}),
  });
}

function usageOf(stream: EngineStream): object {
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
  let sent = request.offset;
  for (;;) {
    while (sent < stream.tokens.length) {
      const content = stream.tokens[sent]!;
      const data = chunkOf(request, {content}, null);
      sent++;
      const goesOn = await writeWithBackpressure(
        res,
        formatSseEvent(data, String(sent)),
      );
      if (!goesOn) return;
      if (request.cutAfter !== null && sent >= request.cutAfter) {
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
  res.write(formatSseEvent(chunkOf(request, {}, 'stop', usageOf(stream))));
  res.end(formatSseEvent(SSE_DONE));
}

/** Starts a model engine's stand-in. */
export async function startModelEngine(
  settings: z.infer<typeof MODEL_SETTINGS_SCHEMA>,
): Promise<StandIn> {
  let faults: ModelFaults = {};
  const log = new ExecutionLog();
  const orders = new FencedOrderLog(settings.checksFencing);
  const cache = new PrefixCache(
    settings.cacheTokens,
    () => Math.random() < settings.eventLoss,
  );
  const engine = new ModelEngine(settings, cache, stream =>
    log.finish(stream.record, stream.isCancelled ? 'cancelled' : 'completed'),
  );
  const reports: Array<{readonly atMs: number; readonly running: number}> = [];

  const laggingLoad = (): object => {
    const now = Date.now();
    reports.push({atMs: now, running: engine.running});
    while (reports.length > 1 && now - reports[1]!.atMs >= settings.loadLagMs) {
      reports.shift();
    }
    return {
      running: reports[0]?.running ?? 0,
      queuedTokens: engine.queuedTokens,
      leaving: faults.leaving ?? false,
      evicted: cache.takeEvicted(),
    };
  };

  const chat = async (
    body: Buffer,
    requestId: string,
    res: ServerResponse,
  ): Promise<void> => {
    const refusals = faults.refuseNext ?? 0;
    if (refusals > 0) {
      faults = {...faults, refuseNext: refusals - 1};
      res.writeHead(503, {[HEADER.NOT_ACCEPTED]: 'true'});
      res.end();
      return;
    }
    const chatRequest = CHAT_REQUEST_SCHEMA.parse(JSON.parse(body.toString()));
    const prompt = promptText(chatRequest);
    const record = log.start(requestId, 'chat', body);
    if (prompt.includes(CRASH_MARKER)) process.exit(1);
    const maxTokens =
      chatRequest.max_completion_tokens ??
      chatRequest.max_tokens ??
      DEFAULT_MAX_TOKENS;
    const stream = new EngineStream(record, prompt, maxTokens);
    engine.submit(stream);
    const cuts = faults.cutNext ?? 0;
    if (cuts > 0) faults = {...faults, cutNext: cuts - 1};
    const cutAfter = cuts > 0 ? TOKENS_BEFORE_CUT : null;
    const {model} = chatRequest;
    await sendStream({stream, model, offset: 0, cutAfter}, res);
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
    await sendStream({stream, model, offset, cutAfter: null}, res);
  };

  return startStandInServer({
    host: settings.host,
    port: settings.port,
    isBlocked: source => faults.blockedSources?.includes(source) ?? false,
    handleControl: (path, body) => {
      if (path === CONTROL_PATH.RECORDS) return log.records;
      if (path === CONTROL_PATH.FAULTS) {
        const patch = MODEL_FAULTS_SCHEMA.parse(JSON.parse(body.toString()));
        faults = {...faults, ...patch};
        engine.slowdown = faults.slowdown ?? 1;
      }
      return {running: engine.running, orders: orders.applied};
    },
    handleRequest: async (body, req, res) => {
      const url = new URL(req.url ?? '/', 'http://engine');
      const requestId = String(req.headers[HEADER.REQUEST_ID] ?? '');
      if (url.pathname === UPSTREAM_PATH.LOAD) sendJson(res, laggingLoad());
      else if (url.pathname.startsWith(UPSTREAM_PATH.STREAMS)) {
        await resumeOrCancel(req.method ?? 'GET', url, res);
      } else if (url.pathname === '/orders') {
        const isTaken = orders.apply(JSON.parse(body.toString()));
        sendJson(res, {taken: isTaken}, isTaken ? 200 : 409);
      } else await chat(body, requestId, res);
    },
  });
}
