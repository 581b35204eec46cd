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

/** Components and state that the entry server uses. */
export interface EntryOptions {
  readonly dependencies: DispatchDependencies;
  readonly claimGate: ClaimGate;
  readonly openRequests: OpenRequests;
  readonly isDraining: () => boolean;
  readonly tls: CertificateWatcher | null;
}

/** An authenticated request that counts towards the entry's open requests. */
interface Admission {
  readonly active: ActiveVersion;
  readonly caller: Caller;
  readonly request: OpenRequest;
  readonly arrivedAtMs: number;
}

function notRunRefusal(
  reason: ConstructorParameters<typeof RefusalError>[0],
  detail: string,
): RefusalError {
  return new RefusalError(reason, OUTCOME.NOT_RUN, detail);
}

function overloadedRefusal(detail: string): RefusalError {
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

/** HTTP server for callers, with health and readiness checks. */
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

  /** Number of requests that run, or whose responses have not been sent. */
  get openCount(): number {
    const {openRequests} = this.options;
    return Math.max(openRequests.size, this.listener.openResponseCount);
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

  /** Serves one request; ends with one response or a closed connection. */
  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {dependencies, openRequests} = this.options;
    const {log, metrics, clock} = dependencies.context;
    const startedAtMs = clock.monotonicMs();
    // A connection kept alive into the shutdown would be cut during its next
    // request.
    if (this.options.isDraining()) res.setHeader('connection', 'close');
    let request: OpenRequest | null = null;
    let requestId = '';
    try {
      const active = dependencies.context.config.current;
      if (!active) {
        throw notRunRefusal(
          REFUSAL_REASON.NOT_READY,
          'this daemon has no configuration yet',
        );
      }
      const caller = authenticate(req, active);
      request = createOpenRequest(caller.tier, true);
      requestId = request.requestId;
      if (!openRequests.add(request)) {
        throw overloadedRefusal('this daemon has too many open requests');
      }
      const {controller} = request;
      res.once('close', () => controller.abort());
      const arrivedAtMs = startedAtMs;
      const admission = {active, caller, request, arrivedAtMs};
      await this.routeRequest(req, res, admission);
      metrics.timing('request_ms', clock.monotonicMs() - startedAtMs);
      metrics.increment('request', {end: 'answered'});
    } catch (e) {
      this.sendError(e, res, requestId);
    } finally {
      if (request) openRequests.remove(request.requestId);
      log.debug('request_ended', {
        requestId,
        method: req.method,
        status: res.statusCode,
        ms: Math.round(clock.monotonicMs() - startedAtMs),
      });
      if (!req.complete) req.resume();
    }
  }

  private async routeRequest(
    req: IncomingMessage,
    res: ServerResponse,
    admission: Admission,
  ): Promise<void> {
    const url = req.url ?? '/';
    if (url.split('?')[0] === CHAT_COMPLETIONS_PATH) {
      await this.serveChat(req, res, admission);
    } else if (url.startsWith(SERVICES_PATH_PREFIX)) {
      await this.serveApplication(req, res, admission);
    } else {
      const detail = `no resource exists at ${url}`;
      throw notRunRefusal(REFUSAL_REASON.UNKNOWN_SERVICE, detail);
    }
  }

  private async serveChat(
    req: IncomingMessage,
    res: ServerResponse,
    admission: Admission,
  ): Promise<void> {
    if (req.method !== 'POST') {
      throw notRunRefusal(
        REFUSAL_REASON.BAD_REQUEST,
        'chat completions require the POST method',
      );
    }
    const {active, caller} = admission;
    const body = await this.readBody(req, admission);
    const chat = parseChatRequest(body);
    const kind = SERVICE_KIND.MODEL;
    const service = findService(active, caller, chat.model, kind);
    const scope = this.createScope(req, admission, chat.model, service);
    await handleChat(this.options.dependencies, scope, chat, res);
  }

  private async serveApplication(
    req: IncomingMessage,
    res: ServerResponse,
    admission: Admission,
  ): Promise<void> {
    const {active, caller, request} = admission;
    const {dependencies, claimGate} = this.options;
    const {name, path} = splitServicePath(req.url ?? '/');
    const kind = SERVICE_KIND.APPLICATION;
    const service = findService(active, caller, name, kind);
    const method = req.method ?? 'GET';
    request.preemptible = !isNonIdempotent(service, method, path);
    const scope = this.createScope(req, admission, name, service);
    const body = await this.readBody(req, admission);
    const {headers} = req;
    const call = {method, path, headers, body, isDetached: false};
    await handleApplication(dependencies, claimGate, scope, call, res);
  }

  /**
   * Reads a body after reserving its bytes, for which lower tiers may be shed.
   */
  private async readBody(
    req: IncomingMessage,
    {active, request}: Admission,
  ): Promise<Buffer> {
    const {maxBodyBytes} = active.cfg.limits;
    // A chunked body has no declared length, so the maximum is reserved.
    const isChunked = req.headers['transfer-encoding'] !== undefined;
    const declaredBytes = isChunked
      ? maxBodyBytes
      : Number(req.headers['content-length'] ?? 0);
    const isTooLarge = declaredBytes > maxBodyBytes;
    if (
      !isTooLarge &&
      !this.options.openRequests.reserveBodyBytes(request, declaredBytes)
    ) {
      throw overloadedRefusal(
        'this daemon has reached its limit of buffered body bytes',
      );
    }
    return readCallerBody(req, maxBodyBytes);
  }

  private createScope(
    req: IncomingMessage,
    admission: Admission,
    serviceName: string,
    service: ServiceConfig,
  ): RequestScope {
    const {caller, request, arrivedAtMs} = admission;
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

  private sendError(
    error: unknown,
    res: ServerResponse,
    requestId: string,
  ): void {
    const {dependencies} = this.options;
    const {log, metrics} = dependencies.context;
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
    dependencies.traces.add(requestId, 'refused', {reason, outcome});
    log.info('request_refused', {requestId, reason, outcome});
    // A response that has begun must end recognizably incomplete: with an error
    // event or a closed connection.
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
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  try {
    if (declaredBytes > maxBytes) throw new BodyTooLargeError(maxBytes);
    return await readBody(req, maxBytes);
  } catch (e) {
    if (!(e instanceof BodyTooLargeError)) {
      throw notRunRefusal(
        REFUSAL_REASON.BAD_REQUEST,
        'the request body was cut off',
      );
    }
    throw notRunRefusal(REFUSAL_REASON.BODY_TOO_LARGE, e.message);
  }
}
