import {RUN_END} from '@fescuespool/scheduling';
import type {HttpExchange} from '@fescuespool/transport';
import {checkForDeath} from './death_probe.js';
import type {GatewayContext} from './gateway_context.js';
import type {RouteLabels} from './gateway_metrics.js';
import {routeLabels} from './gateway_metrics.js';
import type {OpenRequest} from './open_request.js';
import {isStream, sendBufferedResponse} from './open_request.js';
import type {Grant} from './grant.js';
import {partIds} from './prompt_parts.js';
import {endToReport} from './send_blame.js';
import type {SendOutcome} from './send_outcome.js';
import {COMPLETED, failedRun, notRun} from './send_outcome.js';
import type {SeekOther} from './silence_watch.js';
import {SilenceWatch} from './silence_watch.js';
import type {RelayResult, StreamProgress} from './stream_relay.js';
import {relayStream} from './stream_relay.js';
import {StreamVersionTracker} from './stream_version_tracker.js';
import {bufferResponse, discardResponse} from './response_body.js';
import type {BudgetShare} from './caller_budget.js';
import {isForeign, judgeResponse} from './response_verdict.js';
import type {UpstreamResponseHead} from './types.js';
import {createUpstreamRequest} from './upstream_request.js';
import type {SendResult} from './upstream_send.js';
import {sendToUpstream} from './upstream_send.js';
import {eventTimeoutMs, startTimeoutMs} from './upstream_timeouts.js';

/** Statuses that promise the caller that a request has not and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_SERVER_ERROR = 500;
const OK = 200;

/** The send's place in its request. */
export interface AttemptOptions {
  /** Looks for another upstream; null if the request may not run again. */
  readonly seekOther: SeekOther | null;
  readonly service: string;
  /** Number of the send, from 1. */
  readonly send: number;
}

/** Sends a request once, to the upstream that it was placed on. */
export class UpstreamAttempt {
  private sentAtMs = 0;
  private readonly routeLabels: RouteLabels;
  /** Metric label: state of the upstream when it was granted. */
  private readonly upstreamState: string;
  /** Load that the upstream reported with its response. */
  private reportedLoad: UpstreamResponseHead['load'] = null;
  private readonly abandonment = new AbortController();
  private readonly silenceWatch: SilenceWatch | null;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly request: OpenRequest,
    private readonly placement: Grant,
    private readonly progress: StreamProgress,
    private readonly options: AttemptOptions,
  ) {
    this.routeLabels = routeLabels(request.admission.route);
    this.upstreamState = placement.isOnTrial ? 'on_trial' : 'sound';
    const {seekOther} = options;
    this.silenceWatch =
      seekOther && new SilenceWatch(seekOther, () => this.abandonment.abort());
  }

  /**
   * Sends the request, forwards the response, and reports the outcome to the
   * dispatcher and the metrics.
   */
  async run(): Promise<SendOutcome> {
    const {clock, dispatchClient, metrics, runTimes, upstreams} = this.gateway;
    this.sentAtMs = clock.monotonicMs();
    const outcome = await this.sendAndHandle();
    this.silenceWatch?.stop();
    const {instanceId} = this.placement.upstream;
    const runMs = Math.round(clock.monotonicMs() - this.sentAtMs);
    if (outcome.end === RUN_END.COMPLETED) {
      runTimes.record(this.request.admission.route, runMs);
      upstreams.recordResponse(instanceId, clock.monotonicMs());
    } else if (outcome.isConnectionFailure) {
      upstreams.recordConnectionFailure(instanceId);
    }
    const {eventGapMs} = outcome;
    const end = await endToReport(outcome, this.placement, this.gateway);
    const load = isStream(this.request.admission.route)
      ? null
      : this.reportedLoad;
    const requestId = this.placement.grantId;
    dispatchClient.reportEnd({requestId, end, runMs, eventGapMs, load});
    metrics.recordSendEnd(this.routeLabels, this.upstreamState, end);
    if (eventGapMs !== null) {
      metrics.recordEventGap(this.routeLabels, this.upstreamState, eventGapMs);
    }
    if (!outcome.isDone) this.reportFailure(outcome, runMs);
    return outcome;
  }

  /** Sends the request; whatever is thrown is a failed send. */
  private async sendAndHandle(): Promise<SendOutcome> {
    let sent: SendResult | null = null;
    try {
      sent = await this.send();
      return await this.handleSendResult(sent);
    } catch (e) {
      if (sent?.kind === 'answered') sent.exchange.abort();
      return failedRun(RUN_END.FAILED, String(e));
    }
  }

  private send(): Promise<SendResult> {
    const {route} = this.request.admission;
    const {expectedStartMs} = this.placement;
    this.silenceWatch?.expectWithin(startTimeoutMs(route, expectedStartMs));
    const request = createUpstreamRequest(
      this.gateway,
      this.request,
      this.placement,
      {
        lastEventId: this.progress.lastEventId,
        isFirst: this.options.send === 1,
        signal: this.abandonment.signal,
      },
    );
    return sendToUpstream(request, this.gateway.wireFormat).then(result => {
      this.silenceWatch?.stop();
      if (result.kind !== 'answered') return result;
      this.reportedLoad = result.head.load;
      this.recordStatements(result.head, result.exchange);
      return result;
    });
  }

  /** Records what the response head says of the upstream. */
  private recordStatements(
    head: UpstreamResponseHead,
    {res: {socket}, isReusedConnection}: HttpExchange,
  ): void {
    const {requestId} = this.request.head;
    // Another upstream at the same address sent it, or it is a late response.
    if (
      head.isInstanceMismatch ||
      isForeign({head, requestId, isReusedConnection})
    ) {
      return;
    }
    const {limitObserver, upstreamStatements} = this.gateway;
    limitObserver.recordResponse(this.placement, head.limits, {
      requestId,
      sentAtMs: this.sentAtMs,
    });
    const {upstream} = this.placement;
    upstreamStatements.recordResponse({upstream, head, socket, requestId});
  }

  private async handleSendResult(sent: SendResult): Promise<SendOutcome> {
    switch (sent.kind) {
      case 'unreachable':
        return {
          ...notRun(RUN_END.UNREACHABLE, sent.cause, false),
          isConnectionFailure: true,
          isOwnFault: sent.isOwnFault,
        };
      case 'broken':
        return {
          ...failedRun(RUN_END.BROKEN, sent.cause),
          isConnectionFailure: true,
        };
      case 'aborted':
        return this.handleAbort(sent.isSent);
      case 'answered':
        return this.handleResponse(sent.exchange, sent.head);
    }
  }

  private handleAbort(isSent: boolean): SendOutcome {
    const {hasOther} = this.silenceWatch ?? {};
    if (!hasOther || this.request.timer.signal.aborted) {
      return this.cancelledOutcome();
    }
    if (isSent) return failedRun(RUN_END.SILENT, 'response head timed out');
    return {
      ...notRun(RUN_END.UNREACHABLE, 'connection timed out', false),
      isConnectionFailure: true,
    };
  }

  private cancelledOutcome(): SendOutcome {
    const outcome = failedRun(
      RUN_END.CANCELLED,
      'time limit reached or caller disconnected',
    );
    return {...outcome, isDone: this.request.timer.hasCallerLeft};
  }

  private async handleResponse(
    exchange: HttpExchange,
    head: UpstreamResponseHead,
  ): Promise<SendOutcome> {
    const {statusCode: status = 0, headers} = exchange.res;
    const verdict = judgeResponse({
      head,
      status,
      contentType: headers['content-type'],
      requestId: this.request.head.requestId,
      isReusedConnection: exchange.isReusedConnection,
      isStreamRequest: isStream(this.request.admission.route),
      hasSentHead: this.progress.hasSentHead,
    });
    switch (verdict) {
      case 'not_run':
      case 'replaced': {
        discardResponse(exchange);
        const {REPLACED, REJECTED} = RUN_END;
        const end = verdict === 'replaced' ? REPLACED : REJECTED;
        return notRun(end, `rejected without running, status ${status}`, true);
      }
      case 'foreign':
        exchange.abort();
        return failedRun(
          RUN_END.FAILED,
          'response does not belong to this request',
        );
      case 'not_continuing':
        exchange.abort();
        return failedRun(
          RUN_END.FAILED,
          `status ${status} does not continue the stream`,
        );
      case 'stream':
        return this.relay(exchange);
      case 'whole':
        return this.relayBuffered(exchange, status);
    }
  }

  private async relay(exchange: HttpExchange): Promise<SendOutcome> {
    const {res, admission} = this.request;
    const {wireFormat, clock} = this.gateway;
    const versionTracker = new StreamVersionTracker(
      this.gateway,
      this.request,
      this.progress,
      {
        upstream: this.placement.upstream,
        ...this.options,
        socket: exchange.res.socket,
      },
    );
    versionTracker.confirm();
    const expectEvent = (): void =>
      this.silenceWatch?.expectWithin(eventTimeoutMs(admission.route));
    expectEvent();
    const share = this.openShare(exchange);
    const result = await relayStream(exchange, {
      res,
      share,
      progress: this.progress,
      signal: this.request.timer.signal,
      nowMs: clock.monotonicMs,
      beforeFirstEvent: () => versionTracker.shareOrigin(),
      writeHead: () => {
        const headers = wireFormat.callerResponseHeaders(
          exchange.res.rawHeaders,
        );
        res.writeHead(exchange.res.statusCode ?? OK, headers);
      },
      onFirstEvent: () => {
        versionTracker.recordFirstEvent();
        this.reportStart(this.reportedLoad);
      },
      onSurvival: () => this.recordSurvival(),
      onContent: () => this.silenceWatch?.pause(),
      onWritten: expectEvent,
    });
    if (result.end === 'broken') await versionTracker.whenConfirmed();
    return this.handleRelayResult(exchange, result);
  }

  private handleRelayResult(
    exchange: HttpExchange,
    {end, eventCount, eventGapMs}: RelayResult,
  ): SendOutcome {
    if (end === 'complete') {
      if (eventCount > 0) this.recordSurvival();
      this.request.res.end();
      return {...COMPLETED, eventGapMs};
    }
    exchange.abort();
    if (end === 'caller_gone' || this.request.timer.signal.aborted) {
      return this.cancelledOutcome();
    }
    if (this.silenceWatch?.hasOther) {
      return failedRun(RUN_END.SILENT, 'stream timed out');
    }
    return {
      ...failedRun(RUN_END.FAILED, 'stream ended before it was complete'),
      isConnectionFailure: true,
    };
  }

  private async relayBuffered(
    exchange: HttpExchange,
    status: number,
  ): Promise<SendOutcome> {
    this.reportStart(null);
    const share = this.openShare(exchange);
    const result = await bufferResponse(exchange, share);
    if (result.kind === 'failed') {
      if (this.request.timer.signal.aborted) return this.cancelledOutcome();
      if (this.silenceWatch?.hasOther) return this.handleAbort(true);
      return {
        ...failedRun(RUN_END.FAILED, result.cause),
        isConnectionFailure: true,
      };
    }
    // It is held until the caller has taken it.
    const {res} = this.request;
    if (res.destroyed) share.release();
    else res.once('close', () => share.release());
    const {response} = result;
    // To the caller, these statuses would mean that the request did not run,
    // which the upstream did not say.
    const meansNotRun = NOT_RUN_STATUSES.has(status);
    if (status < FIRST_SERVER_ERROR && !meansNotRun) {
      sendBufferedResponse(this.request, this.gateway.wireFormat, response);
      this.recordSurvival();
      return COMPLETED;
    }
    const outcome = failedRun(RUN_END.FAILED, `status ${status}`);
    return {...outcome, errorResponse: meansNotRun ? null : response};
  }

  private openShare({abort}: HttpExchange): BudgetShare {
    const {requestId} = this.request.head;
    const {instanceId: upstreamId} = this.placement.upstream;
    return this.gateway.callerBudget.openResponse({
      requestId,
      upstreamId,
      abort,
    });
  }

  private recordSurvival(): void {
    if (this.progress.hasSurvived) return;
    this.progress.hasSurvived = true;
    const {promptParts} = this.request.head;
    this.gateway.crashGuard.announceSurvival(partIds(promptParts));
  }

  private reportStart(load: UpstreamResponseHead['load']): void {
    const {clock, dispatchClient, metrics} = this.gateway;
    const startMs = Math.round(clock.monotonicMs() - this.sentAtMs);
    const requestId = this.placement.grantId;
    dispatchClient.reportStart({requestId, startMs, load});
    if (!isStream(this.request.admission.route)) return;
    this.progress.firstEventMs ??= Math.round(this.request.timer.elapsedMs);
    metrics.recordFirstEvent(
      this.routeLabels,
      this.upstreamState,
      startMs,
      this.placement.expectedStartMs,
    );
  }

  private reportFailure(outcome: SendOutcome, runMs: number): void {
    const {upstream} = this.placement;
    const {end, cause, mayHaveRun} = outcome;
    const {log} = this.gateway;
    log.warn('send_failed', {
      id: this.request.head.requestId,
      upstream: upstream.instanceId,
      end,
      cause,
      mayHaveRun,
      afterMs: runMs,
      remainingMs: Math.round(this.request.timer.remainingMs),
    });
    // A broken connection may mean that the upstream died with this request in
    // flight.
    if (!outcome.isConnectionFailure || !mayHaveRun) return;
    void checkForDeath(this.gateway, this.request, upstream, {
      labels: this.routeLabels,
      hasBegun: this.progress.hasSurvived,
    });
  }
}
