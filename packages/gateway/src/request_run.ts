import type {
  EndReport,
  Placement,
  RunEnd,
  WorkItem,
} from '@fescuespool/scheduling';
import {
  MIN_RETRY_AFTER_MS,
  QUEUE_REFUSAL,
  RUN_END,
} from '@fescuespool/scheduling';
import type {HttpExchange} from '@fescuespool/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Admitted} from './admission.js';
import {tierOf} from './admission.js';
import {
  GATEWAY_REFUSAL,
  MAX_REJECTED_SENDS,
  MIN_SILENT_CALL_MS,
  MIN_SILENT_STREAM_MS,
  ROUTE_KIND,
  SILENT_EVENT_MS,
  SILENT_START_FACTOR,
} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import type {RequestClock} from './request_clock.js';
import {pickTarget} from './route_table.js';
import type {StreamPosition} from './stream_relay.js';
import {relayStream} from './stream_relay.js';
import type {AnswerHead, GatewayRefusal, RequestHead} from './types.js';
import type {HeldAnswer, SendResult} from './upstream_send.js';
import {
  acceptsConnections,
  holdAnswer,
  sendToUpstream,
} from './upstream_send.js';

/** Statuses that promise that a request has not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_SERVER_ERROR = 500;
const FIRST_REDIRECT = 300;
const OK = 200;

/** A request that was admitted, with its body. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly admitted: Admitted;
  readonly fingerprint: string;
  readonly clock: RequestClock;
}

/** What one send came to. */
interface SendOutcome {
  readonly end: RunEnd;
  /** Whether the caller has its answer, or has gone. */
  readonly isDone: boolean;
  /** Whether the upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** The upstream's own failure, to be passed on where nothing better comes. */
  readonly failure: HeldAnswer | null;
  readonly eventGapMs?: number | null;
  readonly cause: string;
}

const NO_FAILURE = {isDone: false, failure: null} as const;

/** Runs one request: places it, sends it, and repeats it where it may. */
export class RequestRun {
  /** Sends that may have arrived at an upstream. */
  private arrivals = 0;
  /** Sends after which the upstream may have run the request. */
  private runs = 0;
  private sends = 0;
  private queuedMs = 0;
  private failure: HeldAnswer | null = null;
  /** Milliseconds from the request to the first event of its stream. */
  private firstEventMs: number | null = null;
  private readonly excluded: string[] = [];
  private readonly position: StreamPosition;
  private readonly service: string;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly open: OpenRequest,
  ) {
    this.position = {lastEventId: open.head.lastEventId, hasHead: false};
    const draw = gateway.random();
    this.service = pickTarget(open.admitted.route.targets, draw)?.service ?? '';
  }

  /** Whether no upstream can have run the request. */
  get hasNotRun(): boolean {
    return this.runs === 0;
  }

  /** Fields for the log line of the request's end. */
  get summary(): Record<string, string | number> {
    return {
      service: this.service,
      sends: this.sends,
      runs: this.runs,
      queuedMs: Math.round(this.queuedMs),
      ...(this.firstEventMs === null ? {} : {firstEventMs: this.firstEventMs}),
    };
  }

  /** Answers the caller; throws a GatewayRefusalError where that failed. */
  async run(): Promise<void> {
    const {clock} = this.open;
    for (;;) {
      const placement = await this.place();
      if (this.gateway.isLeaving(placement.upstream)) {
        this.handBack(placement);
        continue;
      }
      const outcome = await this.sendTo(placement);
      if (outcome.isDone) return;
      if (!clock.isOver && this.mayTryAgain(outcome)) continue;
      if (this.passFailureOn()) return;
      throw clock.isOver ? this.timeoutRefusal() : this.finalRefusal();
    }
  }

  private get isStream(): boolean {
    return this.open.admitted.route.kind === ROUTE_KIND.STREAM;
  }

  /** Whether the request may run more than once. */
  private get isRepeatable(): boolean {
    const {kind, isResumable} = this.open.admitted.route;
    return kind === ROUTE_KIND.IDEMPOTENT || (this.isStream && isResumable);
  }

  /** Whether a further run may follow the present one. */
  private get mayRepeat(): boolean {
    const {maxAttempts} = this.open.admitted.route;
    return this.isRepeatable && this.runs + 1 < maxAttempts;
  }

  private mayTryAgain(outcome: SendOutcome): boolean {
    if (this.sends > MAX_REJECTED_SENDS) return false;
    if (!outcome.mayHaveRun) return true;
    return (
      this.isRepeatable && this.runs < this.open.admitted.route.maxAttempts
    );
  }

  private async place(): Promise<Placement> {
    const {clock, head} = this.open;
    const startMs = this.gateway.clock.monotonicMs();
    const answer = await this.gateway.dispatch.acquire(
      this.service,
      this.workItem(),
      clock.signal,
    );
    this.queuedMs += this.gateway.clock.monotonicMs() - startMs;
    if (answer.kind === 'placed') {
      const {upstream, waitedMs, freeSlots, expectedStartMs} = answer.placement;
      this.gateway.log.info('placed', {
        id: head.requestId,
        service: this.service,
        upstream: upstream.instanceId,
        waitedMs: Math.round(waitedMs),
        freeSlots,
        expectedStartMs: Math.round(expectedStartMs),
        send: this.sends + 1,
      });
      return answer.placement;
    }
    if (answer.kind === 'aborted') throw this.timeoutRefusal();
    if (this.runs > 0) throw this.refusalAfterRun();
    throw new GatewayRefusalError(
      refusalOf(answer.reason),
      Math.min(answer.retryAfterMs, clock.remainingMs),
    );
  }

  /** Returns a grant of an upstream that leaves; its granter did not know. */
  private handBack({upstream}: Placement): void {
    const {requestId} = this.open.head;
    this.gateway.log.info('grant_handed_back', {
      id: requestId,
      upstream: upstream.instanceId,
    });
    this.gateway.dispatch.ended({
      requestId,
      end: RUN_END.LEAVING,
      runMs: 0,
      eventGapMs: null,
      load: null,
    });
  }

  private workItem(): WorkItem {
    const {admitted, clock, head} = this.open;
    const {route} = admitted;
    const elapsedMs = clock.elapsedMs;
    const patienceMs = this.isStream ? patienceOf(route) : route.timeoutMs;
    const patienceLeftMs = Math.min(patienceMs - elapsedMs, clock.remainingMs);
    return {
      requestId: head.requestId,
      entryId: this.gateway.members.me.id,
      zone: this.gateway.members.me.zone,
      tier: tierOf(admitted),
      fingerprint: this.open.fingerprint,
      promptTokens: head.tokens?.prompt ?? 0,
      objectiveLeftMs: Math.round(route.objectiveMs - elapsedMs),
      patienceLeftMs: Math.round(
        this.position.hasHead ? clock.remainingMs : patienceLeftMs,
      ),
      isRetry: this.arrivals > 0,
      excluded: this.excluded,
    };
  }

  private async sendTo(placement: Placement): Promise<SendOutcome> {
    const {upstream} = placement;
    const {clock, head} = this.open;
    const sentAtMs = this.gateway.clock.monotonicMs();
    this.sends++;
    const sent = await this.send(placement);
    const load = sent.kind === 'answered' ? sent.head.load : null;
    const outcome = await this.take(sent, sentAtMs);
    const report: EndReport = {
      requestId: head.requestId,
      end: outcome.end,
      runMs: Math.round(this.gateway.clock.monotonicMs() - sentAtMs),
      eventGapMs: outcome.eventGapMs ?? null,
      load: this.isStream ? null : load,
    };
    this.gateway.dispatch.ended(report);
    if (sent.kind !== 'unreachable') this.arrivals++;
    if (outcome.mayHaveRun) this.runs++;
    if (outcome.failure) this.failure = outcome.failure;
    if (!outcome.isDone) {
      this.excluded.push(upstream.instanceId);
      this.gateway.count('send_failed', {end: outcome.end});
      this.gateway.log.warn('send_failed', {
        id: head.requestId,
        upstream: upstream.instanceId,
        end: outcome.end,
        cause: outcome.cause,
        mayHaveRun: outcome.mayHaveRun,
        afterMs: report.runMs,
        remainingMs: Math.round(clock.remainingMs),
      });
    }
    if (sent.kind === 'broken' || outcome.cause === 'stream broken') {
      this.checkDeath(upstream.instanceId, upstream.address);
    }
    return outcome;
  }

  private send(placement: Placement): Promise<SendResult> {
    const {req, head, body, admitted, clock} = this.open;
    const {upstream, expectedStartMs} = placement;
    const least = this.isStream ? MIN_SILENT_STREAM_MS : MIN_SILENT_CALL_MS;
    const silenceMs = Math.max(least, SILENT_START_FACTOR * expectedStartMs);
    return sendToUpstream(
      {
        upstream,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: this.gateway.wire.sendHeaders(req.rawHeaders, {
          instanceId: upstream.instanceId,
          accountName: admitted.account?.name ?? null,
          deadlineMs: Math.max(1, Math.floor(clock.remainingMs)),
          lastEventId: this.position.lastEventId,
          bodyBytes: body.length,
          hasBody: body.length > 0 || hasBodyHeaders(req),
        }),
        body,
        // A reset on a used connection does not tell whether a request ran.
        agent: this.isRepeatable ? this.gateway.agent : null,
        silenceMs: this.mayRepeat ? Math.round(silenceMs) : null,
        signal: clock.signal,
      },
      this.gateway.wire,
    );
  }

  private async take(sent: SendResult, sentAtMs: number): Promise<SendOutcome> {
    switch (sent.kind) {
      case 'unreachable':
        return {
          ...NO_FAILURE,
          end: RUN_END.UNREACHABLE,
          mayHaveRun: false,
          cause: sent.cause,
        };
      case 'broken':
        return {
          ...NO_FAILURE,
          end: RUN_END.FAILED,
          mayHaveRun: true,
          cause: sent.cause,
        };
      case 'silent':
        return {
          ...NO_FAILURE,
          end: RUN_END.SILENT,
          mayHaveRun: true,
          cause: 'no answer in the expected time',
        };
      case 'aborted':
        return this.cancelled();
      case 'answered':
        return this.takeAnswer(sent.exchange, sent.head, sentAtMs);
    }
  }

  private cancelled(): SendOutcome {
    return {
      end: RUN_END.CANCELLED,
      isDone: this.open.clock.hasCallerLeft,
      mayHaveRun: true,
      failure: null,
      cause: 'time over or caller gone',
    };
  }

  private async takeAnswer(
    exchange: HttpExchange,
    head: AnswerHead,
    sentAtMs: number,
  ): Promise<SendOutcome> {
    const {requestId} = this.open.head;
    const isForeign = head.requestId !== null && head.requestId !== requestId;
    const status = exchange.res.statusCode ?? 0;
    if (head.isNotRun && !isForeign) {
      exchange.res.resume();
      return {
        ...NO_FAILURE,
        end: head.isOtherInstance ? RUN_END.REPLACED : RUN_END.REJECTED,
        mayHaveRun: false,
        cause: `not run, status ${status}`,
      };
    }
    const isSuccess = status >= OK && status < FIRST_REDIRECT;
    const isOwn = head.requestId === requestId && head.isSealed;
    if (isForeign || (isSuccess && !isOwn)) {
      exchange.abort();
      return {
        ...NO_FAILURE,
        end: RUN_END.FAILED,
        mayHaveRun: true,
        cause: 'not the answer to this request',
      };
    }
    if (this.isStream && isSuccess) {
      return this.relay(exchange, head, sentAtMs);
    }
    return this.hold(exchange, head, status, sentAtMs);
  }

  private async relay(
    exchange: HttpExchange,
    head: AnswerHead,
    sentAtMs: number,
  ): Promise<SendOutcome> {
    const {res} = this.open;
    const result = await relayStream(exchange, {
      res,
      position: this.position,
      nowMs: this.gateway.clock.monotonicMs,
      writeHead: () => this.writeHead(exchange.res),
      onFirstEvent: () => this.tellStart(head, sentAtMs),
      silenceMs: this.mayRepeat ? SILENT_EVENT_MS : null,
    });
    const {eventGapMs} = result;
    switch (result.end) {
      case 'complete':
        res.end();
        return {
          end: RUN_END.COMPLETED,
          isDone: true,
          mayHaveRun: true,
          failure: null,
          eventGapMs,
          cause: '',
        };
      case 'caller_gone':
        exchange.abort();
        return this.cancelled();
      case 'broken':
      case 'silent': {
        if (this.open.clock.signal.aborted) return this.cancelled();
        const isSilent = result.end === 'silent';
        return {
          ...NO_FAILURE,
          end: isSilent ? RUN_END.SILENT : RUN_END.FAILED,
          mayHaveRun: true,
          cause: `stream ${result.end}`,
        };
      }
    }
  }

  private async hold(
    exchange: HttpExchange,
    head: AnswerHead,
    status: number,
    sentAtMs: number,
  ): Promise<SendOutcome> {
    this.tellStart({...head, load: null}, sentAtMs);
    const held = await holdAnswer(exchange);
    if (!held) {
      if (this.open.clock.signal.aborted) return this.cancelled();
      return {
        ...NO_FAILURE,
        end: RUN_END.FAILED,
        mayHaveRun: true,
        cause: 'answer broken',
      };
    }
    const isFailure = status >= FIRST_SERVER_ERROR;
    // Passed on, these would promise what the upstream did not say.
    const isFalsePromise = PROMISE_STATUSES.has(status);
    if (!isFailure && !isFalsePromise) {
      this.sendHeld(held);
      return {
        end: RUN_END.COMPLETED,
        isDone: true,
        mayHaveRun: true,
        failure: null,
        cause: '',
      };
    }
    return {
      end: RUN_END.FAILED,
      isDone: false,
      mayHaveRun: true,
      failure: isFalsePromise ? null : held,
      cause: `status ${status}`,
    };
  }

  private tellStart(head: AnswerHead, sentAtMs: number): void {
    const startMs = Math.round(this.gateway.clock.monotonicMs() - sentAtMs);
    const {requestId} = this.open.head;
    this.gateway.dispatch.started({requestId, startMs, load: head.load});
    if (!this.isStream) return;
    this.gateway.observe('first_event_ms', startMs);
    this.firstEventMs ??= Math.round(this.open.clock.elapsedMs);
  }

  private writeHead(answer: IncomingMessage): void {
    const headers = this.gateway.wire.answerHeaders(answer.rawHeaders);
    this.open.res.writeHead(answer.statusCode ?? OK, headers);
  }

  private sendHeld(held: HeldAnswer): void {
    const {res, req} = this.open;
    const headers = this.gateway.wire.answerHeaders(held.rawHeaders);
    if (req.method !== 'HEAD') {
      headers.push('Content-Length', String(held.body.length));
    }
    res.writeHead(held.status, headers);
    res.end(held.body);
  }

  /** Passes the upstream's own failure on, where one was held. */
  private passFailureOn(): boolean {
    if (!this.failure || this.position.hasHead) return false;
    this.sendHeld(this.failure);
    return true;
  }

  private finalRefusal(): GatewayRefusalError {
    if (this.runs > 0) return this.refusalAfterRun();
    return new GatewayRefusalError(
      GATEWAY_REFUSAL.NOT_ACCEPTED,
      MIN_RETRY_AFTER_MS,
    );
  }

  private refusalAfterRun(): GatewayRefusalError {
    return new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_FAILED);
  }

  private timeoutRefusal(): GatewayRefusalError {
    const reason =
      this.runs > 0
        ? GATEWAY_REFUSAL.UPSTREAM_TIMEOUT
        : GATEWAY_REFUSAL.EXPIRED;
    return new GatewayRefusalError(reason);
  }

  /** Counts the request against upstreams that no longer accept connections. */
  private checkDeath(instanceId: string, address: string): void {
    void acceptsConnections(address).then(isAlive => {
      if (isAlive) return;
      this.gateway.announceDeath(this.open.fingerprint, instanceId);
    });
  }
}

/** Milliseconds for which a caller waits for the first event of a stream. */
function patienceOf(route: Admitted['route']): number {
  return Math.min(
    route.timeoutMs,
    Math.max(
      LEAST_PATIENCE_MS,
      OBJECTIVE_PATIENCE * route.objectiveMs,
      GAP_PATIENCE * (route.maxEventGapMs ?? 0),
    ),
  );
}

/** Callers leave a stream without events after the longest of these. */
const LEAST_PATIENCE_MS = 2_000;
const OBJECTIVE_PATIENCE = 4;
const GAP_PATIENCE = 8;

function refusalOf(reason: string): GatewayRefusal {
  switch (reason) {
    case QUEUE_REFUSAL.EXPIRED:
      return GATEWAY_REFUSAL.EXPIRED;
    case QUEUE_REFUSAL.NO_UPSTREAM:
      return GATEWAY_REFUSAL.NO_UPSTREAM;
    case QUEUE_REFUSAL.BUDGET_SPENT:
      return GATEWAY_REFUSAL.BUDGET_SPENT;
    default:
      return GATEWAY_REFUSAL.OVERLOADED;
  }
}

function hasBodyHeaders(req: IncomingMessage): boolean {
  return (
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined
  );
}
