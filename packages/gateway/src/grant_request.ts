import type {GrantRequest} from '@fescuespool/scheduling';
import {tierOf} from './admission.js';
import type {GatewayContext} from './gateway_context.js';
import type {OpenRequest} from './open_request.js';
import {callerPatienceMs, isRepeatable} from './open_request.js';
import type {RequestTimer} from './request_timer.js';
import type {StreamProgress} from './stream_relay.js';

/** What earlier sends of a request leave to its next one. */
type SendHistory = Pick<
  GrantRequest,
  'isRetry' | 'isAskedAgain' | 'excluded' | 'avoidedZones' | 'requiredVersion'
>;

/** What a grant request tells of the request that it is for. */
type GrantedRequest = Pick<
  OpenRequest,
  'admission' | 'head' | 'fingerprint'
> & {
  readonly timer: Pick<
    RequestTimer,
    'elapsedMs' | 'remainingMs' | 'ownRemainingMs'
  >;
};

/** Creates what is sent to the owner of a queue for an upstream. */
export function createGrantRequest(
  gateway: GatewayContext,
  {admission, timer, head, fingerprint}: GrantedRequest,
  {hasSentHead}: Pick<StreamProgress, 'hasSentHead'>,
  history: SendHistory,
): GrantRequest {
  const {route, account} = admission;
  const {localMember} = gateway.members;
  // Once a stream has begun, the objective is the time to its next event.
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
    fingerprint,
    promptTokens: head.tokens?.prompt ?? 0,
    objectiveLeftMs: Math.round(objectiveLeftMs),
    patienceLeftMs: Math.round(patienceLeftMs),
    timeLeftMs: Math.round(timer.ownRemainingMs),
    isRepeatable: isRepeatable(route),
    lendsRetries: false,
    route: route.name,
    account: account?.name ?? null,
    accountQuotaPerS: account?.quota?.perSecond ?? null,
    outputTokens: head.tokens?.output ?? null,
    maxEventGapMs: route.maxEventGapMs,
    promptParts: head.promptParts,
    ...history,
  };
}

/** The version at which a request's stream has to begin; null if any will do. */
export function versionToBegin(
  {upstreams}: GatewayContext,
  {admission}: Pick<OpenRequest, 'admission'>,
  service: string,
  {
    softwareVersion,
    lastEventId,
  }: Pick<StreamProgress, 'softwareVersion' | 'lastEventId'>,
): string | null {
  const begins = softwareVersion === null && lastEventId === null;
  const isBound = begins && admission.route.isResumable;
  return isBound ? upstreams.versionToBegin(service) : null;
}
