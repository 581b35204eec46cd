import {whenInputRead} from '@fescuespool/common';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {admit, fingerprintOf} from './admission.js';
import type {Admission} from './admission.js';
import {ChunkPacer} from './chunk_pacer.js';
import {
  CONFIG_AGE_MARGIN_MS,
  GATEWAY_REFUSAL,
  MAX_OPEN_REQUESTS,
  MAX_REQUEST_ID_LENGTH,
} from './constants.js';
import {ResponseCutError} from './early_close.js';
import {
  createOverloadedRefusal,
  createStoppingRefusal,
  GatewayRefusalError,
} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import {stripHead} from './head_budget.js';
import {isRepeatable, isStream} from './open_request.js';
import type {OpenResponseCounts} from './open_responses.js';
import {OpenResponses} from './open_responses.js';
import {partIds} from './prompt_parts.js';
import {chargeQuota, refundQuota} from './quota_charge.js';
import type {ReceivedBody} from './request_body.js';
import {readRequestBody} from './request_body.js';
import {sendRefusal} from './refusal_response.js';
import {RequestTimer} from './request_timer.js';
import {RequestRun} from './request_run.js';
import type {EndRank} from './stop_policy.js';
import {END_RANK} from './stop_policy.js';
import type {RequestHead} from './types.js';

const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Node.js parses other paths too, such as those with a tab, but sends none. */
const SENDABLE_PATH = /^[\u0021-\u00ff]+$/;

/** Serves callers: admits, runs and logs each of their requests. */
export class CallerServer {
  private openCount = 0;
  private readonly openResponses = new OpenResponses(() => this.notifyIfIdle());
  private readonly idleListeners: Array<() => void> = [];
  /** Response to the latest request of each connection. */
  private readonly lastResponses = new WeakMap<Socket, ServerResponse>();
  private readonly runs = new WeakMap<ServerResponse, RequestRun>();
  /** Whether responses close their connection, so that callers reconnect. */
  isDraining = false;
  private readonly chunkPacer = new ChunkPacer();
  /** Whether new requests are refused and connections are being closed. */
  private isClosing = false;

  constructor(private readonly gateway: GatewayContext) {}

  /** Number of responses that have not been sent to their end. */
  get openResponseCount(): number {
    return this.openResponses.count;
  }

  /** Counts these by how far they have come. */
  countOpenResponses(): OpenResponseCounts {
    return this.openResponses.countByState();
  }

  /** Resolves once no request is open and all responses have been sent. */
  whenIdle(): Promise<void> {
    if (this.isIdle) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Refuses new requests, and closes each connection after its response. */
  refuseNewRequests(): void {
    this.isClosing = true;
  }

  /** Whether a request has been sent to an upstream. */
  isPassedOn(res: ServerResponse): boolean {
    return (this.runs.get(res)?.sends.count ?? 0) > 0;
  }

  /** Whether the response to a request may be cut off after it has begun. */
  mayBeCut({headers, url}: IncomingMessage): boolean {
    const {routes} = this.gateway.configState;
    if (!routes) return true;
    const route = routes.find(headers.host ?? '', url ?? '');
    return route !== null && isStream(route);
  }

  /**
   * Serves one request, which has waited for others of its connection, from its
   * head to its log line; never rejects.
   */
  async serve(
    req: IncomingMessage,
    res: ServerResponse,
    waitedMs: number,
    /** Whether its head has room. */
    hasRoom: boolean,
  ): Promise<void> {
    const timer = new RequestTimer(this.gateway.clock, res, waitedMs);
    const {socket} = req;
    let head: RequestHead | null = null;
    let run: RequestRun | null = null;
    let admission: Admission | null = null;
    let refusal: GatewayRefusalError | null = null;
    this.gateway.stopGate.add(timer, {
      rank: () => endRankOf(res, admission, run),
      answer: () => {
        const early = refusalBeforeEnd(res, admission, run);
        if (!early) return false;
        refusal = this.refuse(req, res, head, early, timer.hasCallerLeft);
        return refusal !== null;
      },
    });
    this.openCount++;
    this.openResponses.add(res);
    this.closeAfterLastResponse(req, res);
    let body: ReceivedBody | null = null;
    let isCharged = false;
    try {
      head = this.gateway.wireFormat.parseRequest(req);
      if (!hasRoom) this.refuseHead(req);
      const isTooLong = (head?.requestId.length ?? 0) > MAX_REQUEST_ID_LENGTH;
      if (!head || isTooLong || !SENDABLE_PATH.test(req.url ?? '')) {
        throw new GatewayRefusalError(GATEWAY_REFUSAL.BAD_REQUEST);
      }
      if (this.isClosing) {
        throw createStoppingRefusal();
      }
      await this.gateway.whenConfigured();
      // Looked at before the body is read, which holds memory.
      const expected = this.admit(req, head);
      limitTime(timer, expected, head);
      body = await this.readBody(req, head, expected, timer);
      // The end of a connection is read after its last bytes, not with them.
      await whenInputRead();
      if (socket.readableEnded) timer.endWithCaller();
      if (timer.hasCallerLeft) return;
      // The configuration may have changed meanwhile.
      admission = this.admit(req, head);
      const fingerprint = fingerprintOf(
        req.url ?? '',
        admission.account,
        body.bytes,
      );
      this.refuseCrashSuspect(fingerprint, head);
      chargeQuota(this.gateway, admission, head);
      isCharged = true;
      limitTime(timer, admission, head);
      const openRequest = {
        req,
        res,
        head,
        body: body.bytes,
        admission,
        fingerprint,
        timer,
      };
      run = new RequestRun(this.gateway, openRequest);
      this.runs.set(res, run);
      await run.run();
    } catch (e) {
      refusal ??= this.refuse(req, res, head, e, timer.hasCallerLeft);
    } finally {
      timer.stop();
      body?.release();
      this.gateway.stopGate.remove(timer);
      const hasNotRun = run?.hasNotRun ?? true;
      if (admission && isCharged && hasNotRun) {
        refundQuota(this.gateway, admission);
      }
      this.logEnd(res, head, admission, run, refusal, timer);
      this.finishRequest();
    }
  }

  /** Closes the connection after its last response while the gateway stops. */
  private closeAfterLastResponse(
    // A request whose body is not read to its end loses its socket.
    {socket}: IncomingMessage,
    res: ServerResponse,
  ): void {
    const previous = this.lastResponses.get(socket);
    // A caller may send its next request before it has this response.
    if (previous && !previous.headersSent) previous.shouldKeepAlive = true;
    this.lastResponses.set(socket, res);
    if (this.isDraining) res.shouldKeepAlive = false;
    res.once('finish', () => {
      const isLast = this.lastResponses.get(socket) === res;
      if (this.isClosing && isLast) socket.destroySoon();
    });
  }

  private readBody(
    req: IncomingMessage,
    {requestId}: RequestHead,
    {account}: Admission,
    timer: RequestTimer,
  ): Promise<ReceivedBody> {
    const {configState, callerBudget, metrics} = this.gateway;
    const owner = account?.name ?? '';
    return readRequestBody(req, {
      maxBytes:
        configState.current?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      openShare: abort => callerBudget.openBody({requestId, owner, abort}),
      pacer: this.chunkPacer,
      signal: timer.signal,
      refusalForAbort: () => {
        if (timer.endsWithGateway) return createStoppingRefusal();
        metrics.recordUnruly('body_too_slow');
        return new GatewayRefusalError(GATEWAY_REFUSAL.EXPIRED);
      },
    });
  }

  private refuseHead(req: IncomingMessage): never {
    stripHead(req);
    this.gateway.metrics.recordUnruly('head_refused');
    throw createOverloadedRefusal();
  }

  private admit(req: IncomingMessage, head: RequestHead): Admission {
    const {configState, settings} = this.gateway;
    if (this.openCount > MAX_OPEN_REQUESTS) {
      throw createOverloadedRefusal();
    }
    const maxAgeMs = settings.maxConfigAgeMs ?? Infinity;
    return admit(
      {
        cfg: configState.current,
        routes: configState.routes,
        isStale: configState.ageMs > maxAgeMs - CONFIG_AGE_MARGIN_MS,
      },
      req.headers.host ?? '',
      req.url ?? '',
      head,
    );
  }

  private refuseCrashSuspect(
    fingerprint: string,
    {promptParts}: RequestHead,
  ): void {
    const evidence = {fingerprint, parts: partIds(promptParts)};
    if (!this.gateway.crashGuard.isSuspected(evidence)) return;
    throw new GatewayRefusalError(GATEWAY_REFUSAL.CRASH_SUSPECTED);
  }

  /**
   * Sends a refusal, or cuts the connection if the response has begun; returns
   * null if the caller has disconnected.
   */
  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    head: RequestHead | null,
    error: unknown,
    hasCallerLeft: boolean,
  ): GatewayRefusalError | null {
    if (hasCallerLeft || res.destroyed) return null;
    if (!(error instanceof GatewayRefusalError)) {
      this.gateway.log.error('request_failed', {
        id: head?.requestId,
        err: error instanceof Error ? error.message : String(error),
      });
    }
    const refusal =
      error instanceof GatewayRefusalError
        ? error
        : new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_FAILED);
    if (res.headersSent) {
      // Only a cut connection keeps every caller from taking the part that was
      // sent for a complete response.
      res.destroy(new ResponseCutError());
      const {reason} = refusal;
      this.gateway.log.warn('response_cut', {id: head?.requestId, reason});
      return refusal;
    }
    sendRefusal(this.gateway, this.chunkPacer, {req, res, head, refusal});
    return refusal;
  }

  private logEnd(
    res: ServerResponse,
    head: RequestHead | null,
    admission: Admission | null,
    run: RequestRun | null,
    refusal: GatewayRefusalError | null,
    timer: RequestTimer,
  ): void {
    const {log, configState, metrics} = this.gateway;
    const route = routeLabels(admission?.route ?? null);
    const elapsedMs = Math.round(timer.elapsedMs);
    const fields = {
      id: head?.requestId,
      route: admission?.route.name,
      account: admission?.account?.name,
      quotaUnits: admission?.quotaUnits,
      resumes: head?.resumedRequestId ?? undefined,
      status: res.statusCode,
      reason: refusal?.reason,
      retryAfterMs: refusal?.retryAfterMs ?? undefined,
      callerLeft: timer.hasCallerLeft || undefined,
      elapsedMs,
      configVersion: configState.current?.version,
      admittedAtVersion: admission?.configVersion,
      configAgeMs: Math.round(configState.ageMs),
      ...run?.summary,
    };
    if (refusal) {
      log.warn('request_refused', fields);
      metrics.recordRequestEnd(route, 'refused', refusal.reason, elapsedMs);
      return;
    }
    log.info('request_ended', fields);
    const outcome = timer.hasCallerLeft ? 'caller_left' : 'answered';
    metrics.recordRequestEnd(route, outcome, String(res.statusCode), elapsedMs);
  }

  private finishRequest(): void {
    this.openCount--;
    this.notifyIfIdle();
  }

  private get isIdle(): boolean {
    return this.openCount === 0 && this.openResponses.count === 0;
  }

  private notifyIfIdle(): void {
    if (!this.isIdle) return;
    for (const notifyIdle of this.idleListeners.splice(0)) notifyIdle();
  }
}

/** Ends a request with its route's limit, or sooner if its caller says so. */
function limitTime(
  timer: RequestTimer,
  {route: {timeoutMs}}: Admission,
  {deadlineMs}: RequestHead,
): void {
  timer.setTimeLimit(Math.min(timeoutMs, deadlineMs ?? timeoutMs));
}

/** When a request has to be ended in a stop, compared with others. */
function endRankOf(
  res: ServerResponse,
  admission: Admission | null,
  run: RequestRun | null,
): EndRank {
  if (res.headersSent) return END_RANK.BEGUN;
  if (!admission || !run?.sends.count) return END_RANK.NOT_PASSED_ON;
  return isRepeatable(admission.route) ? END_RANK.REPEATABLE : END_RANK.ONCE;
}

/** What a request can be refused with before its run has ended; null if nothing. */
function refusalBeforeEnd(
  res: ServerResponse,
  admission: Admission | null,
  run: RequestRun | null,
): GatewayRefusalError | null {
  if (!admission || !run || res.headersSent) return null;
  if (run.sends.count === 0) return createStoppingRefusal();
  // A stream might be written to in the meantime.
  if (!run.sends.awaitsUpstream || isStream(admission.route)) return null;
  return new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_TIMEOUT);
}
