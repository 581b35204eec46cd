import type {Placement, GrantRequest} from '@fescuespool/scheduling';
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
  isRepeatable,
  callerPatienceMs,
  sendBufferedResponse,
} from './open_request.js';
import {pickTarget} from './route_table.js';
import type {StreamProgress} from './stream_relay.js';
import type {GatewayRefusal} from './types.js';
import type {SendOutcome} from './upstream_attempt.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import type {BufferedResponse} from './upstream_send.js';

/** Runs one request: places it, sends it, and repeats it where it may. */
export class RequestRun {
  /** Sends that may have arrived at an upstream. */
  private arrivals = 0;
  /** Sends after which the upstream may have run the request. */
  private runs = 0;
  private sends = 0;
  private queuedMs = 0;
  private failure: BufferedResponse | null = null;
  private readonly excluded: string[] = [];
  private readonly avoidedZones: string[] = [];
  private readonly position: StreamProgress;
  private readonly service: string;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly open: OpenRequest,
  ) {
    const {lastEventId} = open.head;
    this.position = {lastEventId, hasSentHead: false, firstEventMs: null};
    const draw = gateway.random();
    this.service =
      pickTarget(open.admission.route.targets, draw)?.service ?? '';
  }

  /** Whether no upstream can have run the request. */
  get hasNotRun(): boolean {
    return this.runs === 0;
  }

  /** Fields for the log line of the request's end. */
  get summary(): Record<string, string | number | undefined> {
    return {
      service: this.service,
      sends: this.sends,
      runs: this.runs,
      queuedMs: Math.round(this.queuedMs),
      firstEventMs: this.position.firstEventMs ?? undefined,
    };
  }

  /** Answers the caller; throws a GatewayRefusalError where that failed. */
  async run(): Promise<void> {
    for (;;) {
      const placed = await this.place();
      if (placed instanceof GatewayRefusalError) {
        if (this.passFailureOn()) return;
        throw placed;
      }
      if (this.gateway.upstreams.isLeaving(placed.upstream)) {
        this.handBack(placed);
        continue;
      }
      const outcome = await this.attempt(placed);
      if (outcome.isDone) return;
      if (this.mayTryAgain(outcome)) continue;
      if (this.passFailureOn()) return;
      throw this.finalRefusal();
    }
  }

  private async attempt(placement: Placement): Promise<SendOutcome> {
    const {route} = this.open.admission;
    const mayRepeat = isRepeatable(route) && this.runs + 1 < route.maxAttempts;
    this.sends++;
    const attempt = new UpstreamAttempt(
      this.gateway,
      this.open,
      placement,
      this.position,
      mayRepeat,
    );
    const outcome = await attempt.run();
    if (outcome.mayHaveArrived) this.arrivals++;
    if (outcome.mayHaveRun) this.runs++;
    if (outcome.errorResponse) this.failure = outcome.errorResponse;
    if (!outcome.isDone) this.avoid(placement, outcome);
    return outcome;
  }

  private avoid({upstream}: Placement, outcome: SendOutcome): void {
    this.excluded.push(upstream.instanceId);
    const isOtherZone = upstream.zone !== this.gateway.members.localMember.zone;
    const hasConnection =
      outcome.errorResponse !== null || !outcome.isConnectionFailure;
    if (isOtherZone && !hasConnection) this.avoidedZones.push(upstream.zone);
  }

  private mayTryAgain(outcome: SendOutcome): boolean {
    const {timer: clock, admission: admitted} = this.open;
    if (clock.isOver || this.sends > MAX_REJECTED_SENDS) return false;
    if (!outcome.mayHaveRun) return true;
    return (
      isRepeatable(admitted.route) && this.runs < admitted.route.maxAttempts
    );
  }

  /** Waits for an upstream; answers the refusal where there is none. */
  private async place(): Promise<Placement | GatewayRefusalError> {
    const {timer: clock, head} = this.open;
    const startMs = this.gateway.clock.monotonicMs();
    const answer = await this.gateway.dispatchClient.acquire(
      this.service,
      this.workItem(),
      clock.signal,
    );
    const waitMs = this.gateway.clock.monotonicMs() - startMs;
    this.queuedMs += waitMs;
    this.gateway.metrics.recordQueueWait(
      routeLabels(this.open.admission.route),
      answer.kind,
      waitMs,
    );
    if (answer.kind === 'aborted') return this.timeoutRefusal();
    if (answer.kind === 'refused') {
      if (this.runs > 0) return this.refusalAfterRun();
      const leftMs = Math.ceil(clock.remainingMs);
      const retryAfterMs = Math.min(answer.retryAfterMs, leftMs);
      return new GatewayRefusalError(refusalOf(answer.reason), retryAfterMs);
    }
    const {upstream, waitedMs, freeSlots, isOnTrial, expectedStartMs} =
      answer.placement;
    this.gateway.log.info('placed', {
      id: head.requestId,
      service: this.service,
      upstream: upstream.instanceId,
      waitedMs: Math.round(waitedMs),
      freeSlots,
      isOnTrial,
      expectedStartMs: Math.round(expectedStartMs),
      send: this.sends + 1,
    });
    return answer.placement;
  }

  /** Returns a grant of an upstream that leaves; its granter did not know. */
  private handBack({upstream}: Placement): void {
    const {requestId} = this.open.head;
    const {instanceId} = upstream;
    this.gateway.log.info('grant_handed_back', {
      id: requestId,
      upstream: instanceId,
    });
    this.gateway.dispatchClient.reportEnd({
      requestId,
      end: RUN_END.LEAVING,
      runMs: 0,
      eventGapMs: null,
      load: null,
    });
  }

  private workItem(): GrantRequest {
    const {admission: admitted, timer: clock, head} = this.open;
    const {route} = admitted;
    const {localMember: me} = this.gateway.members;
    // Once a stream has begun, its next event is awaited.
    const {hasSentHead: hasHead} = this.position;
    const objectiveLeftMs = hasHead
      ? (route.maxEventGapMs ?? 0)
      : route.objectiveMs - clock.elapsedMs;
    const patienceLeftMs = hasHead
      ? clock.remainingMs
      : Math.min(callerPatienceMs(route) - clock.elapsedMs, clock.remainingMs);
    return {
      requestId: head.requestId,
      entryId: me.id,
      zone: me.zone,
      tier: tierOf(admitted),
      fingerprint: this.open.fingerprint,
      promptTokens: head.tokens?.prompt ?? 0,
      objectiveLeftMs: Math.round(objectiveLeftMs),
      patienceLeftMs: Math.round(patienceLeftMs),
      isRepeatable: isRepeatable(route),
      isRetry: this.arrivals > 0,
      excluded: this.excluded,
      avoidedZones: this.avoidedZones,
    };
  }

  /** Passes the upstream's own failure on, where one was held. */
  private passFailureOn(): boolean {
    if (!this.failure || this.position.hasSentHead) return false;
    sendBufferedResponse(this.open, this.gateway.wireFormat, this.failure);
    return true;
  }

  private finalRefusal(): GatewayRefusalError {
    if (this.open.timer.isOver) return this.timeoutRefusal();
    if (this.runs > 0) return this.refusalAfterRun();
    const {NOT_ACCEPTED} = GATEWAY_REFUSAL;
    return new GatewayRefusalError(NOT_ACCEPTED, MIN_RETRY_AFTER_MS);
  }

  private refusalAfterRun(): GatewayRefusalError {
    return new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_FAILED);
  }

  private timeoutRefusal(): GatewayRefusalError {
    const {UPSTREAM_TIMEOUT, EXPIRED} = GATEWAY_REFUSAL;
    return new GatewayRefusalError(this.runs > 0 ? UPSTREAM_TIMEOUT : EXPIRED);
  }
}

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
