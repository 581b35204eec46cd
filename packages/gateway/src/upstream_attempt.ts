import type {Placement, RunEnd} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {HttpExchange} from '@fescuespool/transport';
import type {IncomingMessage} from 'node:http';
import {
  MAX_ZONE_PROBES,
  MIN_CALL_START_TIMEOUT_MS,
  MIN_STREAM_START_TIMEOUT_MS,
  STREAM_EVENT_TIMEOUT_MS,
  START_TIMEOUT_FACTOR,
} from './constants.js';
import type {GatewayContext} from './gateway_context.js';
import type {RouteLabels} from './gateway_metrics.js';
import {routeLabels} from './gateway_metrics.js';
import type {OpenRequest} from './open_request.js';
import {isRepeatable, isStream, sendBufferedResponse} from './open_request.js';
import type {RelayResult, StreamProgress} from './stream_relay.js';
import {relayStream} from './stream_relay.js';
import type {UpstreamResponseHead} from './types.js';
import type {BufferedResponse, SendResult} from './upstream_send.js';
import {
  acceptsConnections,
  bufferResponse,
  sendToUpstream,
} from './upstream_send.js';

/** Statuses that promise that a request has not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_SERVER_ERROR = 500;
const FIRST_REDIRECT = 300;
const OK = 200;

/** What one send came to. */
export interface SendOutcome {
  readonly end: RunEnd;
  /** Whether the caller has its answer, or has gone. */
  readonly isDone: boolean;
  /** Whether any byte of the request may have arrived. */
  readonly mayHaveArrived: boolean;
  /** Whether the upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the connection failed, or none could be made. */
  readonly isConnectionFailure: boolean;
  /** The upstream's own failure, to be passed on where nothing better comes. */
  readonly errorResponse: BufferedResponse | null;
  /** Mean milliseconds between two events; null without. */
  readonly eventGapMs: number | null;
  readonly cause: string;
}

const COMPLETED: SendOutcome = {
  end: RUN_END.COMPLETED,
  isDone: true,
  mayHaveArrived: true,
  mayHaveRun: true,
  isConnectionFailure: false,
  errorResponse: null,
  eventGapMs: null,
  cause: '',
};

/** A send after which the upstream may have run the request. */
function failedRun(end: RunEnd, cause: string): SendOutcome {
  return {...COMPLETED, end, isDone: false, cause};
}

/** A send after which the upstream has not run the request. */
function notRun(end: RunEnd, cause: string, hasArrived: boolean): SendOutcome {
  return {
    ...failedRun(end, cause),
    mayHaveRun: false,
    mayHaveArrived: hasArrived,
  };
}

/** One send of a request to the upstream that it was placed on. */
export class UpstreamAttempt {
  private sentAtMs = 0;
  private readonly route: RouteLabels;
  /** Label of the upstream's state when it was granted. */
  private readonly upstreamState: string;
  /** Load that the upstream told with its answer. */
  private load: UpstreamResponseHead['load'] = null;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly open: OpenRequest,
    private readonly placement: Placement,
    private readonly position: StreamProgress,
    /** Whether another run may follow this one, so that silence may end it. */
    private readonly mayRepeat: boolean,
  ) {
    this.route = routeLabels(open.admission.route);
    this.upstreamState = placement.isOnTrial ? 'on_trial' : 'sound';
  }

  /** Sends the request, passes the answer on, and reports the end. */
  async run(): Promise<SendOutcome> {
    const {clock, dispatchClient: dispatch, metrics} = this.gateway;
    this.sentAtMs = clock.monotonicMs();
    const outcome = await this.take(await this.send());
    const runMs = Math.round(clock.monotonicMs() - this.sentAtMs);
    const {end, eventGapMs} = outcome;
    const load = isStream(this.open.admission.route) ? null : this.load;
    const {requestId} = this.open.head;
    dispatch.reportEnd({requestId, end, runMs, eventGapMs, load});
    metrics.recordSendEnd(this.route, this.upstreamState, end);
    if (eventGapMs !== null) {
      metrics.recordEventGap(this.route, this.upstreamState, eventGapMs);
    }
    if (!outcome.isDone) this.noteFailure(outcome, runMs);
    return outcome;
  }

  private send(): Promise<SendResult> {
    const {req, body, admission: admitted, timer: clock} = this.open;
    const {upstream, expectedStartMs} = this.placement;
    const least = isStream(admitted.route)
      ? MIN_STREAM_START_TIMEOUT_MS
      : MIN_CALL_START_TIMEOUT_MS;
    const silenceMs = Math.max(least, START_TIMEOUT_FACTOR * expectedStartMs);
    const {wireFormat: wire, upstreamAgent: agent} = this.gateway;
    return sendToUpstream(
      {
        upstream,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: wire.upstreamRequestHeaders(req.rawHeaders, {
          instanceId: upstream.instanceId,
          accountName: admitted.account?.name ?? null,
          deadlineMs: Math.max(1, Math.floor(clock.remainingMs)),
          lastEventId: this.position.lastEventId,
          bodyBytes: body.length,
          hasBody: body.length > 0 || hasBodyHeaders(req),
        }),
        body,
        // A reset on a used connection does not tell whether a request ran.
        agent: isRepeatable(admitted.route) ? agent : null,
        startTimeoutMs: this.mayRepeat ? Math.round(silenceMs) : null,
        signal: clock.signal,
      },
      wire,
    ).then(result => {
      if (result.kind === 'answered') this.load = result.head.load;
      return result;
    });
  }

  private async take(sent: SendResult): Promise<SendOutcome> {
    switch (sent.kind) {
      case 'unreachable':
        return {
          ...notRun(RUN_END.UNREACHABLE, sent.cause, false),
          isConnectionFailure: true,
        };
      case 'broken':
        return {
          ...failedRun(RUN_END.BROKEN, sent.cause),
          isConnectionFailure: true,
        };
      case 'silent':
        return failedRun(RUN_END.SILENT, 'no answer in the expected time');
      case 'aborted':
        return this.cancelled();
      case 'answered':
        return this.takeAnswer(sent.exchange, sent.head);
    }
  }

  private cancelled(): SendOutcome {
    const outcome = failedRun(RUN_END.CANCELLED, 'time over or caller gone');
    return {...outcome, isDone: this.open.timer.hasCallerLeft};
  }

  private async takeAnswer(
    exchange: HttpExchange,
    head: UpstreamResponseHead,
  ): Promise<SendOutcome> {
    const {requestId} = this.open.head;
    const isForeign = head.requestId !== null && head.requestId !== requestId;
    const status = exchange.res.statusCode ?? 0;
    if (head.isNotRun && !isForeign) {
      exchange.res.resume();
      const {REPLACED, REJECTED} = RUN_END;
      const end = head.isInstanceMismatch ? REPLACED : REJECTED;
      return notRun(end, `not run, status ${status}`, true);
    }
    const isSuccess = status >= OK && status < FIRST_REDIRECT;
    const isOwn = head.requestId === requestId && head.isSealed;
    if (isForeign || (isSuccess && !isOwn)) {
      exchange.abort();
      return failedRun(RUN_END.FAILED, 'not the answer to this request');
    }
    return isSuccess && isStream(this.open.admission.route)
      ? this.relay(exchange)
      : this.hold(exchange, status);
  }

  private async relay(exchange: HttpExchange): Promise<SendOutcome> {
    const {res} = this.open;
    const {wireFormat: wire, clock} = this.gateway;
    const result = await relayStream(exchange, {
      res,
      progress: this.position,
      nowMs: clock.monotonicMs,
      writeHead: () => {
        const headers = wire.callerResponseHeaders(exchange.res.rawHeaders);
        res.writeHead(exchange.res.statusCode ?? OK, headers);
      },
      onFirstEvent: () => this.tellStart(this.load),
      idleTimeoutMs: this.mayRepeat ? STREAM_EVENT_TIMEOUT_MS : null,
    });
    return this.takeRelayed(exchange, result);
  }

  private takeRelayed(
    exchange: HttpExchange,
    {end, eventGapMs}: RelayResult,
  ): SendOutcome {
    if (end === 'complete') {
      this.open.res.end();
      return {...COMPLETED, eventGapMs};
    }
    exchange.abort();
    if (end === 'caller_gone' || this.open.timer.signal.aborted) {
      return this.cancelled();
    }
    if (end === 'silent') return failedRun(RUN_END.SILENT, 'stream silent');
    return {
      ...failedRun(RUN_END.FAILED, 'stream broken'),
      isConnectionFailure: true,
    };
  }

  private async hold(
    exchange: HttpExchange,
    status: number,
  ): Promise<SendOutcome> {
    this.tellStart(null);
    const held = await bufferResponse(exchange);
    if (!held) {
      if (this.open.timer.signal.aborted) return this.cancelled();
      return {
        ...failedRun(RUN_END.FAILED, 'answer broken'),
        isConnectionFailure: true,
      };
    }
    // Passed on, these would promise what the upstream did not say.
    const isFalsePromise = PROMISE_STATUSES.has(status);
    if (status < FIRST_SERVER_ERROR && !isFalsePromise) {
      sendBufferedResponse(this.open, this.gateway.wireFormat, held);
      return COMPLETED;
    }
    const outcome = failedRun(RUN_END.FAILED, `status ${status}`);
    return {...outcome, errorResponse: isFalsePromise ? null : held};
  }

  private tellStart(load: UpstreamResponseHead['load']): void {
    const {clock, dispatchClient: dispatch, metrics} = this.gateway;
    const startMs = Math.round(clock.monotonicMs() - this.sentAtMs);
    const {requestId} = this.open.head;
    dispatch.reportStart({requestId, startMs, load});
    if (!isStream(this.open.admission.route)) return;
    this.position.firstEventMs ??= Math.round(this.open.timer.elapsedMs);
    metrics.recordFirstEvent(this.route, this.upstreamState, startMs);
  }

  /**
   * Whether the upstream has died. In a partition the others of its zone can't be
   * reached either, which says nothing about the request.
   */
  private async isDead(): Promise<boolean> {
    const {upstream} = this.placement;
    if (await acceptsConnections(upstream.address)) return false;
    const neighbours = this.gateway.upstreams.othersInZone(
      upstream,
      MAX_ZONE_PROBES,
    );
    const answers = await Promise.all(
      neighbours.map(({address}) => acceptsConnections(address)),
    );
    return answers.length === 0 || answers.includes(true);
  }

  private noteFailure(outcome: SendOutcome, runMs: number): void {
    const {upstream} = this.placement;
    const {end, cause, mayHaveRun} = outcome;
    const {log, announceDeath} = this.gateway;
    log.warn('send_failed', {
      id: this.open.head.requestId,
      upstream: upstream.instanceId,
      end,
      cause,
      mayHaveRun,
      afterMs: runMs,
      remainingMs: Math.round(this.open.timer.remainingMs),
    });
    // A broken connection may be the upstream's death, with this in flight.
    if (!outcome.isConnectionFailure || !mayHaveRun) return;
    void this.isDead().then(isDead => {
      if (isDead) announceDeath(this.open.fingerprint, upstream.instanceId);
    });
  }
}

function hasBodyHeaders(req: IncomingMessage): boolean {
  return (
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined
  );
}
