import type {QuotaPriority} from '@fescuespool/scheduling';
import {BEGUN} from '@fescuespool/scheduling';
import type {Admission} from './admission.js';
import {GATEWAY_REFUSAL} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import {isStream} from './open_request.js';
import type {RequestHead, Route} from './types.js';

type QuotaContext = Pick<GatewayContext, 'clock' | 'log' | 'quotaLedger'>;

/**
 * Priority of a request within its account's quota. A stream that its caller takes
 * up goes before new requests, which would throw away what has run of it.
 */
export function quotaPriorityOf(
  route: Route,
  {tokens, lastEventId}: RequestHead,
): QuotaPriority {
  const isResumed = isStream(route) && route.isResumable;
  if (isResumed && lastEventId !== null) return BEGUN;
  // Requests without a token count use almost none of a quota.
  return tokens === null ? 0 : route.priority;
}

/**
 * Charges a request to its account's quota; throws a GatewayRefusalError if that
 * is spent.
 */
export function chargeQuota(
  {clock, log, quotaLedger}: QuotaContext,
  {account, quotaUnits, route}: Admission,
  head: RequestHead,
): void {
  if (!account?.quota) return;
  const priority = quotaPriorityOf(route, head);
  const waitMs = quotaLedger.charge(
    account.name,
    account.quota,
    quotaUnits,
    clock.monotonicMs(),
    priority,
  );
  if (waitMs === 0) return;
  const {requestId, resumedRequestId, lastEventId} = head;
  const state = quotaLedger.stateOf(account.name);
  log.info('quota_refused', {
    id: requestId,
    account: account.name,
    units: quotaUnits,
    priority,
    waitMs,
    resumes: resumedRequestId ?? undefined,
    after: lastEventId ?? undefined,
    perSecond: account.quota.perSecond,
    burst: account.quota.burst,
    left: state ? Math.round(state.left) : undefined,
    capacity: state ? Math.round(state.capacity) : undefined,
    unconfirmed: state ? Math.round(state.unconfirmed) : undefined,
    unconfirmedLimit: state ? Math.round(state.unconfirmedLimit) : undefined,
  });
  throw new GatewayRefusalError(GATEWAY_REFUSAL.QUOTA_EXCEEDED, waitMs);
}

/** Gives back what was charged for a request that did not run. */
export function refundQuota(
  {quotaLedger}: Pick<GatewayContext, 'quotaLedger'>,
  {account, quotaUnits}: Admission,
): void {
  if (account?.quota) quotaLedger.refund(account.name, quotaUnits);
}
