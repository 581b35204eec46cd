import {sleep} from '@fescuespool/common';
import type {GrantRequest, RunEnd, UpstreamSpec} from '@fescuespool/scheduling';
import {QUEUE_REFUSAL, RUN_END} from '@fescuespool/scheduling';
import {
  GATEWAY_REFUSAL,
  MAX_EXCLUDED_UPSTREAMS,
  MAX_REJECTED_SENDS,
  PAUSED_GRANT_DELAY_MS,
} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import type {Grant} from './grant.js';
import {logPlacement, returnGrant} from './grant.js';
import {checkGrant, confirmLife} from './grant_check.js';
import {partIds} from './prompt_parts.js';
import {createGrantRequest, versionToBegin} from './grant_request.js';
import type {OpenRequest} from './open_request.js';
import {isRepeatable, isStream, sendBufferedResponse} from './open_request.js';
import {seekOtherUpstream} from './other_upstream.js';
import {pickTarget} from './route_table.js';
import {findResumePlace} from './resume_place.js';
import {RunRefusals} from './run_refusal.js';
import {SendRecord} from './send_record.js';
import type {SendOutcome} from './send_outcome.js';
import type {StreamProgress} from './stream_relay.js';
import {TriedUpstreams} from './tried_upstreams.js';
import {UpstreamAttempt} from './upstream_attempt.js';

/**
 * Runs one request: waits for a placement, sends the request to that upstream,
 * and retries where the route permits it.
 */
export class RequestRun {
  /** What is known of its sends. */
  readonly sends = new SendRecord();
  private queuedMs = 0;
  /** Grants returned because their upstreams were paused. */
  private pausedGrants = 0;
  private readonly tried: TriedUpstreams;
  private readonly refusals: RunRefusals;
  private readonly progress: StreamProgress;
  private service: string;
  private searches = 0;
  /** Times that an upstream was asked for. */
  private asks = 0;
  /** Grant of the last send. */
  private grant: Grant | null = null;
  /** Whether a new stream may begin at any version. */
  private mayBeginAnywhere = false;
  /** Grant of an upstream that takes over from a silent one. */
  private nextGrant: Grant | null = null;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly request: OpenRequest,
  ) {
    const {lastEventId} = request.head;
    this.refusals = new RunRefusals(request.timer, () => this.hasNotRun);
    this.progress = {
      lastEventId,
      softwareVersion: null,
      hasSentHead: false,
      firstEventMs: null,
      longestGapMs: null,
      hasSurvived: false,
    };
    this.tried = new TriedUpstreams(gateway.members.localMember.zone);
    const {targets} = request.admission.route;
    this.service = pickTarget(targets, gateway.random())?.service ?? '';
  }

  /** Whether it is certain that no upstream has run the request. */
  get hasNotRun(): boolean {
    return this.sends.possibleRuns === 0;
  }

  /** Log fields of the events `request_ended` and `request_refused`. */
  get summary(): Record<string, string | number | undefined> {
    return {
      service: this.service,
      sends: this.sends.count,
      runs: this.sends.possibleRuns,
      queuedMs: Math.round(this.queuedMs),
      firstEventMs: this.progress.firstEventMs ?? undefined,
      longestGapMs: this.progress.longestGapMs ?? undefined,
    };
  }

  /**
   * Resolves once the caller has its response or has disconnected; throws a
   * GatewayRefusalError if the request was refused or every attempt failed.
   */
  async run(): Promise<void> {
    const {resumedRequestId, requestId} = this.request.head;
    let isComplete = false;
    try {
      await this.bindToOrigin();
      isComplete = await this.runUntilEnd();
    } finally {
      this.returnNextGrant();
      this.returnHeldGrant();
      const began = resumedRequestId ?? requestId;
      this.gateway.streamArchive.end(began, isComplete);
    }
  }

  /** Returns whether an upstream has completed the request. */
  private async runUntilEnd(): Promise<boolean> {
    for (;;) {
      const placed = this.takeNextGrant() ?? (await this.place());
      if (placed instanceof GatewayRefusalError) {
        if (this.sendErrorResponse()) return false;
        throw placed;
      }
      this.grant = placed;
      if (await this.returnUnusable(placed)) continue;
      // The cause of crashes may have been found while the request waited.
      const {promptParts} = this.request.head;
      if (this.gateway.crashGuard.hasCause(partIds(promptParts))) {
        this.returnGrant(placed, RUN_END.CANCELLED);
        throw this.refusals.unlessRun(
          new GatewayRefusalError(GATEWAY_REFUSAL.CRASH_SUSPECTED),
        );
      }
      if (!(await this.isAtRequiredVersion(placed))) continue;
      // Asked last, as the steps before may have taken time.
      if (!this.gateway.stopGate.mayBegin(this.request)) {
        this.returnGrant(placed, RUN_END.CANCELLED);
        if (this.sendErrorResponse()) return false;
        throw this.refuseTooLate();
      }
      const outcome = await this.attempt(placed);
      if (outcome.isDone) return outcome.end === RUN_END.COMPLETED;
      if (this.canRetry(outcome)) continue;
      if (this.sendErrorResponse()) return false;
      throw this.refusals.final();
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
  private async isAtRequiredVersion(placement: Grant): Promise<boolean> {
    const {softwareVersion} = this.progress;
    if (softwareVersion === null) return true;
    const {upstream} = placement;
    // A dispatcher of an earlier release does not heed the required version.
    if (softwareVersion !== upstream.softwareVersion) {
      this.returnGrant(placement, RUN_END.CANCELLED);
      throw this.refusals.unlessRun(
        new GatewayRefusalError(GATEWAY_REFUSAL.STREAM_NOT_RESUMABLE),
      );
    }
    if (softwareVersion === placement.confirmedVersion) return true;
    const {requestId} = this.request.head;
    const {signal} = this.request.timer;
    const end = await confirmLife(upstream, requestId, signal, this.gateway);
    if (end === null) return !(await this.returnUnusable(placement));
    this.returnGrant(placement, end);
    this.tried.exclude(upstream.instanceId);
    return false;
  }

  private async attempt(placement: Grant): Promise<SendOutcome> {
    const {route} = this.request.admission;
    const mayRepeat =
      isRepeatable(route) && this.sends.possibleRuns + 1 < route.maxAttempts;
    this.sends.begin();
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
        send: this.sends.count,
      },
    );
    const outcome = await attempt.run();
    this.sends.end(outcome);
    if (!outcome.isDone) this.tried.recordFailure(placement.upstream, outcome);
    const {softwareVersion} = this.progress;
    // The stream may have begun just before it was abandoned.
    if (this.nextGrant?.confirmedVersion !== softwareVersion)
      this.returnNextGrant();
    return outcome;
  }

  /** Looks for an upstream that takes over from one that is silent. */
  private async seekOther(
    {instanceId}: UpstreamSpec,
    signal: AbortSignal,
    onFound: () => void,
  ): Promise<void> {
    if (!this.mayGoOnElsewhere || this.gateway.stopGate.isShortOfCore) return;
    const {requestId} = this.request.head;
    const excluded = [...this.tried.excluded, instanceId];
    const request = {
      ...this.createGrantRequest(),
      // The silent upstream's grant keeps the request's own id.
      requestId: `${requestId}~${++this.searches}`,
      isRetry: true,
      excluded: excluded.slice(-MAX_EXCLUDED_UPSTREAMS),
    };
    const {gateway, service} = this;
    const sought = [gateway, requestId, service, request, signal] as const;
    const grant = await seekOtherUpstream(...sought);
    if (!grant) return;
    if (signal.aborted || !this.gateway.stopGate.mayBegin(this.request)) {
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

  /** Whether another upstream could do what is left of the request. */
  private get mayGoOnElsewhere(): boolean {
    const {timer} = this.request;
    if (timer.isOver || this.sends.count > MAX_REJECTED_SENDS) return false;
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
      this.sends.possibleRuns < admission.route.maxAttempts
    );
  }

  /** Waits for a placement; returns a refusal if none is granted. */
  private async place(): Promise<Grant | GatewayRefusalError> {
    const {timer, head} = this.request;
    const startMs = this.gateway.clock.monotonicMs();
    const wait = this.gateway.stopGate.wait(this.request);
    const answer = await this.gateway.dispatchClient
      .acquire(this.service, this.createGrantRequest(), wait.signal)
      .finally(wait.end);
    const waitMs = this.gateway.clock.monotonicMs() - startMs;
    this.queuedMs += waitMs;
    this.gateway.metrics.recordQueueWait(
      routeLabels(this.request.admission.route),
      answer.kind,
      waitMs,
    );
    if (answer.kind === 'aborted') {
      return timer.signal.aborted
        ? this.refusals.timeout()
        : this.refuseTooLate();
    }
    if (answer.kind === 'refused') {
      this.gateway.log.info('grant_refused', {
        id: head.requestId,
        service: this.service,
        reason: answer.reason,
        version: this.progress.softwareVersion ?? undefined,
        runs: this.sends.possibleRuns,
      });
      if (answer.reason === QUEUE_REFUSAL.NO_VERSION) {
        if (this.versionToBegin === null) {
          return this.refusals.unlessRun(
            new GatewayRefusalError(GATEWAY_REFUSAL.STREAM_NOT_RESUMABLE),
          );
        }
        this.mayBeginAnywhere = true;
        return this.place();
      }
      return this.refusals.fromQueue(answer);
    }
    const {requestId: grantId} = head;
    const grant = {...answer.placement, grantId, confirmedVersion: null};
    this.logPlacement(grant);
    return grant;
  }

  private logPlacement(grant: Grant): void {
    const {gateway, service, sends, request} = this;
    const id = request.head.requestId;
    logPlacement(gateway, grant, {id, service, send: sends.count + 1});
  }

  /** Returns a grant that may not be used; waits a little if it is paused. */
  private async returnUnusable(placement: Grant): Promise<boolean> {
    const {upstream} = placement;
    const unusable = checkGrant(placement, this.gateway);
    if (!unusable) return false;
    const {end, pauseLeftMs} = unusable;
    this.returnGrant(placement, end);
    if (pauseLeftMs > 0) {
      this.tried.exclude(upstream.instanceId);
      const delayMs = PAUSED_GRANT_DELAY_MS * 2 ** this.pausedGrants++;
      const {signal} = this.request.timer;
      await sleep(Math.min(delayMs, pauseLeftMs), signal);
    }
    return true;
  }

  /**
   * Returns a grant unused: its upstream is leaving, which the dispatcher did not
   * know yet, or the request may not be sent any more.
   */
  private returnGrant(grant: Grant, end: RunEnd): void {
    returnGrant(this.gateway, this.request.head.requestId, grant, end);
  }

  /** Returns the grant of a send whose end was not reported. */
  private returnHeldGrant(): void {
    const {grant} = this;
    if (!grant) return;
    const {requestId: id} = this.request.head;
    const grantedBy = this.gateway.dispatchClient.granterOf(grant.grantId);
    if (grantedBy === undefined) return;
    this.gateway.log.error('grant_left_over', {id, grantedBy});
    this.returnGrant(grant, RUN_END.CANCELLED);
  }

  /** Refuses a request that can't end before the gateway does. */
  private refuseTooLate(): GatewayRefusalError {
    this.gateway.stopGate.logRefusal(this.request);
    return this.refusals.tooLate();
  }

  private createGrantRequest(): GrantRequest {
    return createGrantRequest(this.gateway, this.request, this.progress, {
      isRetry: this.sends.possibleArrivals > 0,
      isAskedAgain: this.asks++ > 0,
      excluded: this.tried.excluded,
      avoidedZones: this.tried.avoidedZones,
      requiredVersion: this.progress.softwareVersion ?? this.versionToBegin,
    });
  }

  private get versionToBegin(): string | null {
    if (this.mayBeginAnywhere) return null;
    const {gateway, request, service, progress} = this;
    return versionToBegin(gateway, request, service, progress);
  }

  /**
   * Sends the buffered error response of an upstream to the caller; returns
   * false if there is none or the stream has already begun.
   */
  private sendErrorResponse(): boolean {
    const {errorResponse} = this.sends;
    if (!errorResponse || this.progress.hasSentHead) return false;
    sendBufferedResponse(this.request, this.gateway.wireFormat, errorResponse);
    return true;
  }
}
