import type {GrantRequest, Placement, RunEnd} from '@fescuespool/scheduling';
import {
  MIN_RETRY_AFTER_MS,
  QUEUE_REFUSAL,
  RUN_END,
} from '@fescuespool/scheduling';
import {tierOf} from './admission.js';
import {GATEWAY_REFUSAL, MAX_REJECTED_SENDS} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import type {OpenRequest} from './open_request.js';
import {
  callerPatienceMs,
  isRepeatable,
  isStream,
  sendBufferedResponse,
} from './open_request.js';
import {pickTarget} from './route_table.js';
import {findResumePlace} from './resume_place.js';
import type {SendOutcome} from './send_outcome.js';
import type {StreamProgress} from './stream_relay.js';
import type {GatewayRefusal} from './types.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import {checkLife} from './upstream_life.js';
import type {BufferedResponse} from './upstream_send.js';

/** End to report for an upstream that is not in the life that is required. */
const END_BY_LIFE = {
  replaced: RUN_END.REPLACED,
  unreachable: RUN_END.UNREACHABLE,
  // A sound upstream may be silent for a while.
  silent: RUN_END.CANCELLED,
} as const;

/**
 * Runs one request: waits for a placement, sends the request to that upstream,
 * and retries where the route permits it.
 */
export class RequestRun {
  /** Sends of which any byte may have reached an upstream. */
  private possibleArrivals = 0;
  /** Sends after which the upstream may have run the request. */
  private possibleRuns = 0;
  private sends = 0;
  private queuedMs = 0;
  private errorResponse: BufferedResponse | null = null;
  private readonly excluded: string[] = [];
  private readonly avoidedZones: string[] = [];
  private readonly progress: StreamProgress;
  private service: string;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly request: OpenRequest,
  ) {
    const {lastEventId} = request.head;
    this.progress = {
      lastEventId,
      softwareVersion: null,
      hasSentHead: false,
      firstEventMs: null,
      hasSurvived: false,
    };
    const draw = gateway.random();
    this.service =
      pickTarget(request.admission.route.targets, draw)?.service ?? '';
  }

  /** Whether it is certain that no upstream has run the request. */
  get hasNotRun(): boolean {
    return this.possibleRuns === 0;
  }

  /** Log fields of the events `request_ended` and `request_refused`. */
  get summary(): Record<string, string | number | undefined> {
    return {
      service: this.service,
      sends: this.sends,
      runs: this.possibleRuns,
      queuedMs: Math.round(this.queuedMs),
      firstEventMs: this.progress.firstEventMs ?? undefined,
    };
  }

  /**
   * Resolves once the caller has its response or has disconnected; throws a
   * GatewayRefusalError if the request was refused or every attempt failed.
   */
  async run(): Promise<void> {
    const {resumedRequestId, requestId} = this.request.head;
    try {
      await this.runToEnd();
    } finally {
      this.returnHeldGrant();
      const isComplete = this.request.res.writableEnded;
      const began = resumedRequestId ?? requestId;
      this.gateway.streamArchive.end(began, isComplete);
    }
  }

  private async runToEnd(): Promise<void> {
    await this.bindToOrigin();
    for (;;) {
      const placed = await this.place();
      if (placed instanceof GatewayRefusalError) {
        if (this.sendErrorResponse()) return;
        throw placed;
      }
      if (this.returnUnusable(placed)) continue;
      // The cause of crashes may have been found while the request waited.
      if (this.gateway.crashGuard.hasCause(this.request.head.promptParts)) {
        this.returnGrant(placed, RUN_END.CANCELLED);
        throw this.createCrashRefusal();
      }
      if (!(await this.isAtRequiredVersion(placed))) continue;
      const outcome = await this.attempt(placed);
      if (outcome.isDone) return;
      if (this.canRetry(outcome)) continue;
      if (this.sendErrorResponse()) return;
      throw this.createFinalRefusal();
    }
  }

  /** Binds a stream that its caller takes up to where it began. */
  private async bindToOrigin(): Promise<void> {
    const {admission, head} = this.request;
    if (!isStream(admission.route) || head.lastEventId === null) return;
    const place = await findResumePlace(this.gateway, this.request);
    this.service = place.service;
    this.progress.softwareVersion = place.softwareVersion;
  }

  /**
   * Whether an upstream has the version that a stream is bound to; if not, its
   * grant has been returned. Throws a GatewayRefusalError if another can't help.
   */
  private async isAtRequiredVersion(placement: Placement): Promise<boolean> {
    const {softwareVersion} = this.progress;
    if (softwareVersion === null) return true;
    const {upstream} = placement;
    // A dispatcher of an earlier release does not heed the required version.
    if (softwareVersion !== upstream.softwareVersion) {
      this.returnGrant(placement, RUN_END.CANCELLED);
      throw this.createNotResumableRefusal();
    }
    const {wireFormat, upstreamPaths, upstreamStatements, log} = this.gateway;
    const {signal} = this.request.timer;
    const {requestId} = this.request.head;
    const life = await checkLife(
      upstream,
      wireFormat,
      upstreamPaths,
      signal,
      (head, socket) =>
        upstreamStatements.recordResponse({upstream, head, socket, requestId}),
    );
    if (life === 'same') return !this.returnUnusable(placement);
    log.warn('upstream_life_unconfirmed', {
      id: requestId,
      upstream: upstream.instanceId,
      life,
    });
    this.returnGrant(
      placement,
      signal.aborted ? RUN_END.CANCELLED : END_BY_LIFE[life],
    );
    this.excluded.push(upstream.instanceId);
    return false;
  }

  private async attempt(placement: Placement): Promise<SendOutcome> {
    const {route} = this.request.admission;
    const mayRepeat =
      isRepeatable(route) && this.possibleRuns + 1 < route.maxAttempts;
    this.sends++;
    const attempt = new UpstreamAttempt(
      this.gateway,
      this.request,
      placement,
      this.progress,
      {mayRepeat, service: this.service, send: this.sends},
    );
    const outcome = await attempt.run();
    if (outcome.mayHaveArrived) this.possibleArrivals++;
    if (outcome.mayHaveRun) this.possibleRuns++;
    if (outcome.errorResponse) this.errorResponse = outcome.errorResponse;
    if (!outcome.isDone) this.excludeUpstream(placement, outcome);
    return outcome;
  }

  private excludeUpstream({upstream}: Placement, outcome: SendOutcome): void {
    this.excluded.push(upstream.instanceId);
    const isOtherZone = upstream.zone !== this.gateway.members.localMember.zone;
    const hasConnection =
      outcome.errorResponse !== null || !outcome.isConnectionFailure;
    if (isOtherZone && !hasConnection) this.avoidedZones.push(upstream.zone);
  }

  private canRetry(outcome: SendOutcome): boolean {
    const {timer, admission} = this.request;
    if (timer.isOver || this.sends > MAX_REJECTED_SENDS) return false;
    // Another upstream could only go on if the version that began were known.
    const {firstEventMs, softwareVersion} = this.progress;
    if (firstEventMs !== null && softwareVersion === null) return false;
    if (!outcome.mayHaveRun) return true;
    return (
      isRepeatable(admission.route) &&
      this.possibleRuns < admission.route.maxAttempts
    );
  }

  /** Waits for a placement; returns a refusal if none is granted. */
  private async place(): Promise<Placement | GatewayRefusalError> {
    const {timer, head} = this.request;
    const startMs = this.gateway.clock.monotonicMs();
    const answer = await this.gateway.dispatchClient.acquire(
      this.service,
      this.createGrantRequest(),
      timer.signal,
    );
    const waitMs = this.gateway.clock.monotonicMs() - startMs;
    this.queuedMs += waitMs;
    this.gateway.metrics.recordQueueWait(
      routeLabels(this.request.admission.route),
      answer.kind,
      waitMs,
    );
    if (answer.kind === 'aborted') return this.createTimeoutRefusal();
    if (answer.kind === 'refused') {
      this.gateway.log.info('grant_refused', {
        id: head.requestId,
        service: this.service,
        reason: answer.reason,
        version: this.progress.softwareVersion ?? undefined,
        runs: this.possibleRuns,
      });
      if (answer.reason === QUEUE_REFUSAL.NO_VERSION) {
        return this.createNotResumableRefusal();
      }
      if (this.possibleRuns > 0) return this.createUpstreamFailedRefusal();
      const leftMs = Math.ceil(timer.remainingMs);
      const retryAfterMs = Math.min(answer.retryAfterMs, leftMs);
      return new GatewayRefusalError(
        toGatewayRefusal(answer.reason),
        retryAfterMs,
      );
    }
    const {upstream, waitedMs, freeSlots, isOnTrial, expectedStartMs} =
      answer.placement;
    const {dispatchClient, limitObserver, upstreamPaths} = this.gateway;
    this.gateway.log.info('placed', {
      id: head.requestId,
      service: this.service,
      upstream: upstream.instanceId,
      waitedMs: Math.round(waitedMs),
      freeSlots,
      isOnTrial,
      expectedStartMs: Math.round(expectedStartMs),
      send: this.sends + 1,
      version: upstream.softwareVersion ?? undefined,
      grantedBy: dispatchClient.granterOf(head.requestId),
      isTunnelled: upstreamPaths.usesTunnel(upstream.address) || undefined,
      limitPerS: limitObserver.limitToldBy(upstream) ?? undefined,
    });
    return answer.placement;
  }

  /** Returns a grant whose upstream is known here to be leaving or replaced. */
  private returnUnusable(placement: Placement): boolean {
    const {upstreams} = this.gateway;
    const {upstream} = placement;
    if (upstreams.isLeaving(upstream)) {
      this.returnGrant(placement, RUN_END.LEAVING);
      return true;
    }
    if (upstreams.isReplaced(upstream)) {
      this.returnGrant(placement, RUN_END.REPLACED);
      return true;
    }
    return false;
  }

  /**
   * Returns a grant unused: its upstream is leaving, which the dispatcher did not
   * know yet, or the request may not be sent any more.
   */
  private returnGrant({upstream}: Placement, end: RunEnd): void {
    const {requestId} = this.request.head;
    const {instanceId} = upstream;
    this.gateway.log.info('grant_handed_back', {
      id: requestId,
      upstream: instanceId,
    });
    this.reportUnused(end);
  }

  /** Returns the grant of a send whose end was not reported. */
  private returnHeldGrant(): void {
    const {requestId} = this.request.head;
    const grantedBy = this.gateway.dispatchClient.granterOf(requestId);
    if (grantedBy === undefined) return;
    this.gateway.log.error('grant_left_over', {id: requestId, grantedBy});
    this.reportUnused(RUN_END.CANCELLED);
  }

  private reportUnused(end: RunEnd): void {
    this.gateway.dispatchClient.reportEnd({
      requestId: this.request.head.requestId,
      end,
      runMs: 0,
      eventGapMs: null,
      load: null,
    });
  }

  private createGrantRequest(): GrantRequest {
    const {admission, timer, head} = this.request;
    const {route} = admission;
    const {localMember} = this.gateway.members;
    // Once a stream has begun, the objective is the time to its next event.
    const {hasSentHead} = this.progress;
    const objectiveLeftMs = hasSentHead
      ? (route.maxEventGapMs ?? 0)
      : route.objectiveMs - timer.elapsedMs;
    const patienceLeftMs = hasSentHead
      ? timer.remainingMs
      : Math.min(callerPatienceMs(route) - timer.elapsedMs, timer.remainingMs);
    return {
      requestId: head.requestId,
      entryId: localMember.id,
      zone: localMember.zone,
      tier: tierOf(admission),
      fingerprint: this.request.fingerprint,
      promptTokens: head.tokens?.prompt ?? 0,
      objectiveLeftMs: Math.round(objectiveLeftMs),
      patienceLeftMs: Math.round(patienceLeftMs),
      isRepeatable: isRepeatable(route),
      isRetry: this.possibleArrivals > 0,
      excluded: this.excluded,
      avoidedZones: this.avoidedZones,
      requiredVersion: this.progress.softwareVersion,
    };
  }

  /**
   * Sends the buffered error response of an upstream to the caller; returns
   * false if there is none or the stream has already begun.
   */
  private sendErrorResponse(): boolean {
    if (!this.errorResponse || this.progress.hasSentHead) return false;
    sendBufferedResponse(
      this.request,
      this.gateway.wireFormat,
      this.errorResponse,
    );
    return true;
  }

  private createFinalRefusal(): GatewayRefusalError {
    if (this.request.timer.isOver) return this.createTimeoutRefusal();
    if (this.possibleRuns > 0) return this.createUpstreamFailedRefusal();
    const {NOT_ACCEPTED} = GATEWAY_REFUSAL;
    return new GatewayRefusalError(NOT_ACCEPTED, MIN_RETRY_AFTER_MS);
  }

  private createNotResumableRefusal(): GatewayRefusalError {
    if (this.possibleRuns > 0) return this.createUpstreamFailedRefusal();
    return new GatewayRefusalError(GATEWAY_REFUSAL.STREAM_NOT_RESUMABLE);
  }

  private createCrashRefusal(): GatewayRefusalError {
    if (this.possibleRuns > 0) return this.createUpstreamFailedRefusal();
    return new GatewayRefusalError(GATEWAY_REFUSAL.CRASH_SUSPECTED);
  }

  private createUpstreamFailedRefusal(): GatewayRefusalError {
    return new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_FAILED);
  }

  private createTimeoutRefusal(): GatewayRefusalError {
    const {UPSTREAM_TIMEOUT, EXPIRED} = GATEWAY_REFUSAL;
    return new GatewayRefusalError(
      this.possibleRuns > 0 ? UPSTREAM_TIMEOUT : EXPIRED,
    );
  }
}

function toGatewayRefusal(reason: string): GatewayRefusal {
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
