import type {GrantRequest, RunEnd, UpstreamSpec} from '@fescuespool/scheduling';
import {
  MIN_RETRY_AFTER_MS,
  QUEUE_REFUSAL,
  RUN_END,
} from '@fescuespool/scheduling';
import {GATEWAY_REFUSAL, MAX_REJECTED_SENDS} from './constants.js';
import {GatewayRefusalError, toGatewayRefusal} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import type {Grant} from './grant.js';
import {logPlacement, returnGrant} from './grant.js';
import {createGrantRequest} from './grant_request.js';
import type {OpenRequest} from './open_request.js';
import {isRepeatable, isStream, sendBufferedResponse} from './open_request.js';
import {END_BY_LIFE, seekOtherUpstream} from './other_upstream.js';
import {pickTarget} from './route_table.js';
import type {SendOutcome} from './send_outcome.js';
import type {StreamProgress} from './stream_relay.js';
import {placeToResume} from './stream_resumption.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import {checkLife} from './upstream_life.js';
import type {BufferedResponse} from './upstream_send.js';

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
  private searches = 0;
  /** Grant of an upstream that takes over from a silent one. */
  private nextGrant: Grant | null = null;

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
    try {
      await this.bindToOrigin();
      await this.runUntilEnd();
    } finally {
      this.returnNextGrant();
    }
  }

  private async runUntilEnd(): Promise<void> {
    for (;;) {
      const placed = this.takeNextGrant() ?? (await this.place());
      if (placed instanceof GatewayRefusalError) {
        if (this.sendErrorResponse()) return;
        throw placed;
      }
      const {upstreams} = this.gateway;
      if (upstreams.isLeaving(placed.upstream)) {
        this.returnGrant(placed, RUN_END.LEAVING);
        continue;
      }
      if (upstreams.isReplaced(placed.upstream)) {
        this.returnGrant(placed, RUN_END.REPLACED);
        continue;
      }
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
    const {lastEventId, resumedRequestId} = head;
    if (!isStream(admission.route) || lastEventId === null) return;
    const {streamOrigins, upstreams, clock} = this.gateway;
    const known =
      resumedRequestId === null
        ? null
        : await streamOrigins.find(resumedRequestId);
    const place = placeToResume(
      admission.route,
      resumedRequestId,
      known,
      upstreams.versions,
      clock.monotonicMs(),
    );
    if (!place) throw this.createNotResumableRefusal();
    this.service = place.service;
    this.progress.softwareVersion = place.softwareVersion;
  }

  /**
   * Whether an upstream has the version that a stream is bound to; if not, its
   * grant has been returned. Throws a GatewayRefusalError if another can't help.
   */
  private async isAtRequiredVersion(placement: Grant): Promise<boolean> {
    const {softwareVersion} = this.progress;
    if (softwareVersion === null) return true;
    const {upstream} = placement;
    // A dispatcher of an earlier release does not heed the required version.
    if (softwareVersion !== upstream.softwareVersion) {
      this.returnGrant(placement, RUN_END.CANCELLED);
      throw this.createNotResumableRefusal();
    }
    if (softwareVersion === placement.confirmedVersion) return true;
    const {wireFormat, upstreamPaths, log} = this.gateway;
    const {signal} = this.request.timer;
    const life = await checkLife(upstream, wireFormat, upstreamPaths, signal);
    if (life === 'same') return true;
    const {requestId} = this.request.head;
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

  private async attempt(placement: Grant): Promise<SendOutcome> {
    const {route} = this.request.admission;
    const mayRepeat =
      isRepeatable(route) && this.possibleRuns + 1 < route.maxAttempts;
    this.sends++;
    const attempt = new UpstreamAttempt(
      this.gateway,
      this.request,
      placement,
      this.progress,
      {
        seekOther: mayRepeat
          ? (signal, onFound) =>
              this.seekOther(placement.upstream, signal, onFound)
          : null,
        service: this.service,
        send: this.sends,
      },
    );
    const outcome = await attempt.run();
    if (outcome.mayHaveArrived) this.possibleArrivals++;
    if (outcome.mayHaveRun) this.possibleRuns++;
    if (outcome.errorResponse) this.errorResponse = outcome.errorResponse;
    if (!outcome.isDone) this.excludeUpstream(placement, outcome);
    const {softwareVersion} = this.progress;
    // The stream may have begun just before it was abandoned.
    if (this.nextGrant?.confirmedVersion !== softwareVersion) {
      this.returnNextGrant();
    }
    return outcome;
  }

  /** Looks for an upstream that takes over from one that is silent. */
  private async seekOther(
    {instanceId}: UpstreamSpec,
    signal: AbortSignal,
    onFound: () => void,
  ): Promise<void> {
    if (!this.mayGoOnElsewhere) return;
    const {requestId} = this.request.head;
    const request = {
      ...this.createGrantRequest(),
      // The silent upstream's grant keeps the request's own id.
      requestId: `${requestId}~${++this.searches}`,
      isRetry: true,
      excluded: [...this.excluded, instanceId],
    };
    const {gateway, service} = this;
    const grant = await seekOtherUpstream(
      gateway,
      requestId,
      service,
      request,
      signal,
    );
    if (!grant) return;
    if (signal.aborted) {
      returnGrant(gateway, requestId, grant, RUN_END.CANCELLED);
      return;
    }
    this.nextGrant = grant;
    this.logPlacement(grant);
    onFound();
  }

  private takeNextGrant(): Grant | null {
    const grant = this.nextGrant;
    this.nextGrant = null;
    return grant;
  }

  /** Returns the grant of an upstream that is not needed any more. */
  private returnNextGrant(): void {
    const grant = this.takeNextGrant();
    if (grant) this.returnGrant(grant, RUN_END.CANCELLED);
  }

  private excludeUpstream({upstream}: Grant, outcome: SendOutcome): void {
    this.excluded.push(upstream.instanceId);
    const isOtherZone = upstream.zone !== this.gateway.members.localMember.zone;
    const hasConnection =
      outcome.errorResponse !== null || !outcome.isConnectionFailure;
    if (isOtherZone && !hasConnection) this.avoidedZones.push(upstream.zone);
  }

  /** Whether another upstream could do what is left of the request. */
  private get mayGoOnElsewhere(): boolean {
    const {timer} = this.request;
    if (timer.isOver || this.sends > MAX_REJECTED_SENDS) return false;
    // Another upstream could only go on if the version that began were known.
    const {firstEventMs, softwareVersion} = this.progress;
    return firstEventMs === null || softwareVersion !== null;
  }

  private canRetry(outcome: SendOutcome): boolean {
    if (!this.mayGoOnElsewhere) return false;
    if (!outcome.mayHaveRun) return true;
    const {admission} = this.request;
    return (
      isRepeatable(admission.route) &&
      this.possibleRuns < admission.route.maxAttempts
    );
  }

  /** Waits for a placement; returns a refusal if none is granted. */
  private async place(): Promise<Grant | GatewayRefusalError> {
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
    const {requestId: grantId} = head;
    const grant = {...answer.placement, grantId, confirmedVersion: null};
    this.logPlacement(grant);
    return grant;
  }

  private logPlacement(grant: Grant): void {
    const {requestId: id} = this.request.head;
    const {gateway, service, sends} = this;
    logPlacement(gateway, grant, {id, service, send: sends + 1});
  }

  /**
   * Returns a grant unused: its upstream is leaving, which the dispatcher did not
   * know yet, or the request may not be sent any more.
   */
  private returnGrant(grant: Grant, end: RunEnd): void {
    returnGrant(this.gateway, this.request.head.requestId, grant, end);
  }

  private createGrantRequest(): GrantRequest {
    return createGrantRequest(this.gateway, this.request, this.progress, {
      isRetry: this.possibleArrivals > 0,
      excluded: this.excluded,
      avoidedZones: this.avoidedZones,
    });
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
