import {OUTCOME, REFUSAL_REASON} from '@fescuespool/coordination';
import {
  CHAT_COMPLETIONS_PATH,
  EVENT_STREAM_MEDIA_TYPE,
  RefusalError,
  SERVICES_PATH_PREFIX,
} from '@fescuespool/protocol';
import type {ActiveVersion, ServiceConfig} from '@fescuespool/state';
import {SERVICE_KIND} from '@fescuespool/state';
import {
  BodyTooLargeError,
  readBody,
  sendJson,
  sendRefusal,
} from '@fescuespool/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {handleApplication, isNonIdempotent} from './application_handler.js';
import {handleChat, parseChatRequest} from './chat_handler.js';
import type {ClaimGate} from './claim_gate.js';
import {
  CALLER_REQUEST_TIMEOUT_MS,
  MAX_HEADER_BYTES,
  RETRY_AFTER_MS,
} from './constants.js';
import type {DispatchDependencies} from './dispatch.js';
import {HttpListener} from './http_listener.js';
import type {OpenRequest, OpenRequests} from './open_requests.js';
import type {Caller, RequestScope} from './request_scope.js';
import {
  authenticate,
  createOpenRequest,
  findService,
  readRequestHeaders,
} from './request_scope.js';
import type {CertificateWatcher} from './certificate_watcher.js';

/** What the entry needs besides the parts that a dispatch uses. */
export interface EntryOptions {
  readonly dependencies: DispatchDependencies;
  readonly gate: ClaimGate;
  readonly openRequests: OpenRequests;
  readonly isDraining: () => boolean;
  readonly tls: CertificateWatcher | null;
}

/** A request that was authenticated and has a place at the entry. */
interface Admitted {
  readonly active: ActiveVersion;
  readonly caller: Caller;
  readonly request: OpenRequest;
  readonly arrivedAtMs: number;
}

function refuse(
  reason: ConstructorParameters<typeof RefusalError>[0],
  detail: string,
): RefusalError {
  return new RefusalError(reason, OUTCOME.NOT_RUN, detail);
}

function overloaded(detail: string): RefusalError {
  const reason = REFUSAL_REASON.ENTRY_OVERLOADED;
  return new RefusalError(reason, OUTCOME.NOT_RUN, detail, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function splitServicePath(url: string): {name: string; path: string} {
  const rest = url.slice(SERVICES_PATH_PREFIX.length);
  const end = rest.search(/[/?]/);
  const name = end < 0 ? rest : rest.slice(0, end);
  const path = end < 0 ? '/' : rest.slice(end);
  return {name, path: path.startsWith('/') ? path : `/${path}`};
}

/** Serves callers over HTTP. */
export class EntryServer {
  readonly listener: HttpListener;

  constructor(private readonly options: EntryOptions) {
    this.listener = new HttpListener(
      (req, res) => void this.handle(req, res),
      options.tls,
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: CALLER_REQUEST_TIMEOUT_MS,
      },
    );
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url === '/healthz') {
      sendJson(res, 200, {status: 'ok'});
    } else if (req.url === '/readyz') {
      this.sendReadiness(res);
    } else {
      await this.serve(req, res);
    }
  }

  private sendReadiness(res: ServerResponse): void {
    const {version} = this.options.dependencies.context.config;
    const isReady = version > 0 && !this.options.isDraining();
    const status = isReady ? 'ready' : 'not_ready';
    sendJson(res, isReady ? 200 : 503, {status, configVersion: version});
  }

  /** Task of one request: it ends with one answer or a closed connection. */
  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {dependencies: parts, openRequests: open} = this.options;
    const {log, metrics, clock} = parts.context;
    const startedAtMs = clock.monotonicMs();
    // A connection that outlives a shutdown would be cut with its next request.
    if (this.options.isDraining()) res.setHeader('connection', 'close');
    let request: OpenRequest | null = null;
    let requestId = '';
    try {
      const active = parts.context.config.current;
      if (!active) {
        throw refuse(REFUSAL_REASON.NOT_READY, 'no configuration yet');
      }
      const caller = authenticate(req, active);
      request = createOpenRequest(caller.tier, true);
      requestId = request.requestId;
      if (!open.add(request)) {
        throw overloaded('too many open requests');
      }
      const {controller} = request;
      res.once('close', () => controller.abort());
      const arrivedAtMs = startedAtMs;
      const admitted = {active, caller, request, arrivedAtMs};
      await this.serveCaller(req, res, admitted);
      metrics.timing('request_ms', clock.monotonicMs() - startedAtMs);
      metrics.increment('request', {end: 'answered'});
    } catch (e) {
      this.endWithError(e, res, requestId);
    } finally {
      if (request) open.remove(request.requestId);
      log.debug('request_ended', {
        requestId,
        method: req.method,
        status: res.statusCode,
        ms: Math.round(clock.monotonicMs() - startedAtMs),
      });
      if (!req.complete) req.resume();
    }
  }

  private async serveCaller(
    req: IncomingMessage,
    res: ServerResponse,
    admitted: Admitted,
  ): Promise<void> {
    const url = req.url ?? '/';
    if (url.split('?')[0] === CHAT_COMPLETIONS_PATH) {
      await this.serveChat(req, res, admitted);
    } else if (url.startsWith(SERVICES_PATH_PREFIX)) {
      await this.serveApplication(req, res, admitted);
    } else {
      const detail = `there is nothing at ${url}`;
      throw refuse(REFUSAL_REASON.UNKNOWN_SERVICE, detail);
    }
  }

  private async serveChat(
    req: IncomingMessage,
    res: ServerResponse,
    admitted: Admitted,
  ): Promise<void> {
    if (req.method !== 'POST') {
      throw refuse(REFUSAL_REASON.BAD_REQUEST, 'use POST');
    }
    const {active, caller} = admitted;
    const body = await this.readBody(req, admitted);
    const chat = parseChatRequest(body);
    const kind = SERVICE_KIND.MODEL;
    const service = findService(active, caller, chat.model, kind);
    const scope = this.makeScope(req, admitted, chat.model, service);
    await handleChat(this.options.dependencies, scope, chat, res);
  }

  private async serveApplication(
    req: IncomingMessage,
    res: ServerResponse,
    admitted: Admitted,
  ): Promise<void> {
    const {active, caller, request} = admitted;
    const {dependencies: parts, gate} = this.options;
    const {name, path} = splitServicePath(req.url ?? '/');
    const kind = SERVICE_KIND.APPLICATION;
    const service = findService(active, caller, name, kind);
    const method = req.method ?? 'GET';
    request.preemptible = !isNonIdempotent(service, method, path);
    const scope = this.makeScope(req, admitted, name, service);
    const body = await this.readBody(req, admitted);
    const {headers} = req;
    const call = {method, path, headers, body, isDetached: false};
    await handleApplication(parts, gate, scope, call, res);
  }

  /** Reads a body whose bytes have a place; lower tiers make room for it. */
  private async readBody(
    req: IncomingMessage,
    {active, request}: Admitted,
  ): Promise<Buffer> {
    const {maxBodyBytes} = active.cfg.limits;
    // A body of unknown length may be as long as any.
    const isChunked = req.headers['transfer-encoding'] !== undefined;
    const announced = isChunked
      ? maxBodyBytes
      : Number(req.headers['content-length'] ?? 0);
    const isTooLarge = announced > maxBodyBytes;
    if (
      !isTooLarge &&
      !this.options.openRequests.reserveBodyBytes(request, announced)
    ) {
      throw overloaded('the entry holds too many bodies');
    }
    return readCallerBody(req, maxBodyBytes);
  }

  private makeScope(
    req: IncomingMessage,
    admitted: Admitted,
    serviceName: string,
    service: ServiceConfig,
  ): RequestScope {
    const {caller, request, arrivedAtMs} = admitted;
    const headers = readRequestHeaders(req, service);
    const {requestId} = request;
    this.options.dependencies.traces.add(requestId, 'arrived', {
      service: serviceName,
      account: caller.accountId,
      tier: caller.account.tier,
    });
    return {
      requestId,
      caller,
      serviceName,
      service,
      idempotencyKey: headers.idempotencyKey,
      deadlineAtMs: arrivedAtMs + headers.deadlineMs,
      openRequest: request,
    };
  }

  private endWithError(
    error: unknown,
    res: ServerResponse,
    requestId: string,
  ): void {
    const {dependencies: parts} = this.options;
    const {log, metrics} = parts.context;
    const isRefusal = error instanceof RefusalError;
    const refusal = isRefusal
      ? error
      : new RefusalError(
          REFUSAL_REASON.UPSTREAM_FAILED,
          OUTCOME.MAY_HAVE_RUN,
          'internal error',
        );
    const {reason, outcome} = refusal;
    if (!isRefusal) {
      log.error('internal_error', {requestId, err: String(error)});
    }
    metrics.increment('refusal', {reason, outcome});
    parts.traces.add(requestId, 'refused', {reason, outcome});
    log.info('request_refused', {requestId, reason, outcome});
    // An answer that has begun ends in a way that no client takes for whole.
    if (!sendRefusal(res, refusal, requestId)) {
      const event = JSON.stringify({error: {code: reason, outcome}});
      if (res.getHeader('content-type') === EVENT_STREAM_MEDIA_TYPE) {
        res.write(`data: ${event}\n\n`, () => res.destroy());
      } else {
        res.destroy();
      }
    }
  }
}

async function readCallerBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const announced = Number(req.headers['content-length'] ?? 0);
  try {
    if (announced > maxBytes) throw new BodyTooLargeError(maxBytes);
    return await readBody(req, maxBytes);
  } catch (e) {
    if (!(e instanceof BodyTooLargeError)) {
      throw refuse(REFUSAL_REASON.BAD_REQUEST, 'the body broke off');
    }
    throw refuse(REFUSAL_REASON.BODY_TOO_LARGE, e.message);
  }
}
