import {readBody, BodyTooLargeError} from '@fescuespool/transport';
import {MIN_RETRY_AFTER_MS} from '@fescuespool/scheduling';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {admit, fingerprintOf} from './admission.js';
import type {Admission} from './admission.js';
import {
  CONFIG_AGE_MARGIN_MS,
  GATEWAY_REFUSAL,
  MAX_OPEN_REQUESTS,
  NOT_READY_RETRY_AFTER_MS,
} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import {RequestTimer} from './request_clock.js';
import {RequestRun} from './request_run.js';
import type {RequestHead} from './types.js';

const MS_PER_SECOND = 1_000;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Serves the callers' requests, one task each. */
export class CallerServer {
  private openCount = 0;
  private readonly idleListeners: Array<() => void> = [];
  /** Whether callers are asked to open another connection. */
  isDraining = false;
  /** Whether connections are closed and what still comes is refused. */
  private isClosing = false;

  constructor(private readonly gateway: GatewayContext) {}

  /** Requests that are not answered yet. */
  get openRequestCount(): number {
    return this.openCount;
  }

  /** Resolves once no request is open. */
  whenIdle(): Promise<void> {
    if (this.openCount === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Refuses what still comes, and closes connections after their answers. */
  refuseNewRequests(): void {
    this.isClosing = true;
  }

  /** Task of one request; it never throws. */
  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const clock = new RequestTimer(this.gateway.clock, res);
    const head = this.gateway.wireFormat.parseRequest(req);
    this.openCount++;
    if (this.isDraining) res.shouldKeepAlive = false;
    res.once('finish', () => {
      if (this.isClosing) req.socket.destroySoon();
    });
    let run: RequestRun | null = null;
    let admitted: Admission | null = null;
    let isCharged = false;
    let refusal: GatewayRefusalError | null = null;
    try {
      if (!head) throw new GatewayRefusalError(GATEWAY_REFUSAL.BAD_REQUEST);
      if (this.isClosing) {
        throw new GatewayRefusalError(
          GATEWAY_REFUSAL.STOPPING,
          MIN_RETRY_AFTER_MS,
        );
      }
      const body = await this.readBody(req);
      await this.gateway.whenConfigured();
      admitted = this.admit(req, head);
      const fingerprint = fingerprintOf(req.url ?? '', admitted.account, body);
      this.refuseSuspect(fingerprint);
      this.charge(admitted, head.tokens !== null);
      isCharged = true;
      const {timeoutMs} = admitted.route;
      clock.setTimeLimit(Math.min(timeoutMs, head.deadlineMs ?? timeoutMs));
      const open = {req, res, head, body, admitted, fingerprint, clock};
      run = new RequestRun(this.gateway, open);
      await run.run();
    } catch (e) {
      refusal = this.refuse(res, head, e, clock.hasCallerLeft);
    }
    clock.stop();
    const hasNotRun = run?.hasNotRun ?? true;
    if (admitted && isCharged && hasNotRun) this.refund(admitted);
    this.logEnd(res, head, admitted, run, refusal, clock);
    this.ended();
  }

  private async readBody(req: IncomingMessage): Promise<Buffer> {
    const limit = this.gateway.configState.current?.limits.maxBodyBytes;
    try {
      return await readBody(req, limit ?? DEFAULT_MAX_BODY_BYTES);
    } catch (e) {
      if (e instanceof BodyTooLargeError) {
        throw new GatewayRefusalError(GATEWAY_REFUSAL.BODY_TOO_LARGE);
      }
      throw e;
    }
  }

  private admit(req: IncomingMessage, head: RequestHead): Admission {
    const {configState: config, settings} = this.gateway;
    if (this.openCount > MAX_OPEN_REQUESTS) {
      throw new GatewayRefusalError(
        GATEWAY_REFUSAL.OVERLOADED,
        NOT_READY_RETRY_AFTER_MS,
      );
    }
    const maxAgeMs = settings.maxConfigAgeMs ?? Infinity;
    return admit(
      {
        cfg: config.current,
        routes: config.routes,
        isStale: config.ageMs > maxAgeMs - CONFIG_AGE_MARGIN_MS,
      },
      req.headers.host ?? '',
      req.url ?? '',
      head,
    );
  }

  private refuseSuspect(fingerprint: string): void {
    if (!this.gateway.poisonRegistry.isSuspected(fingerprint)) return;
    throw new GatewayRefusalError(GATEWAY_REFUSAL.CRASH_SUSPECTED);
  }

  private charge(
    {account, quotaUnits, route}: Admission,
    hasTokens: boolean,
  ): void {
    if (!account?.quota) return;
    const waitMs = this.gateway.quotaLedger.charge(
      account.name,
      account.quota,
      quotaUnits,
      this.gateway.clock.monotonicMs(),
      // Requests without a token count take next to nothing of a quota.
      hasTokens ? route.priority : 0,
    );
    if (waitMs === 0) return;
    throw new GatewayRefusalError(GATEWAY_REFUSAL.QUOTA_EXCEEDED, waitMs);
  }

  private refund({account, quotaUnits}: Admission): void {
    if (account?.quota)
      this.gateway.quotaLedger.refund(account.name, quotaUnits);
  }

  /** Answers with a refusal; null where nobody is left to be answered. */
  private refuse(
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
      // A cut connection is the only end that no caller takes for a whole answer.
      res.destroy();
      return refusal;
    }
    this.sendRefusal(res, head, refusal);
    return refusal;
  }

  private sendRefusal(
    res: ServerResponse,
    head: RequestHead | null,
    refusal: GatewayRefusalError,
  ): void {
    const {reason, status, retryAfterMs} = refusal;
    const body = `${JSON.stringify({reason})}\n`;
    const headers = this.gateway.wireFormat.ownResponseHeaders(
      head?.requestId ?? null,
    );
    headers.push('Content-Type', 'application/json');
    headers.push('Content-Length', String(Buffer.byteLength(body)));
    if (retryAfterMs !== null) {
      const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(3);
      headers.push('Retry-After', seconds);
    }
    res.writeHead(status, headers);
    res.end(body);
  }

  private logEnd(
    res: ServerResponse,
    head: RequestHead | null,
    admitted: Admission | null,
    run: RequestRun | null,
    refusal: GatewayRefusalError | null,
    clock: RequestTimer,
  ): void {
    const {log, configState: config, metrics} = this.gateway;
    const route = routeLabels(admitted?.route ?? null);
    const elapsedMs = Math.round(clock.elapsedMs);
    const fields = {
      id: head?.requestId,
      route: admitted?.route.name,
      account: admitted?.account?.name,
      status: res.statusCode,
      reason: refusal?.reason,
      retryAfterMs: refusal?.retryAfterMs ?? undefined,
      callerLeft: clock.hasCallerLeft || undefined,
      elapsedMs,
      configVersion: config.current?.version,
      configAgeMs: Math.round(config.ageMs),
      ...run?.summary,
    };
    if (refusal) {
      log.warn('request_refused', fields);
      metrics.recordRequestEnd(route, 'refused', refusal.reason, elapsedMs);
      return;
    }
    log.info('request_ended', fields);
    const outcome = clock.hasCallerLeft ? 'caller_left' : 'answered';
    metrics.recordRequestEnd(route, outcome, String(res.statusCode), elapsedMs);
  }

  private ended(): void {
    this.openCount--;
    if (this.openCount > 0) return;
    for (const tell of this.idleListeners.splice(0)) tell();
  }
}
