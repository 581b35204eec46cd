import type {Admission} from './admission.js';
import {GATEWAY_REFUSAL} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import type {RequestHead} from './types.js';

type QuotaContext = Pick<GatewayContext, 'clock' | 'log' | 'quotaLedger'>;

/**
 * Charges a request to its account's quota; throws a GatewayRefusalError if that
 * is spent.
 */
export function chargeQuota(
  {clock, log, quotaLedger}: QuotaContext,
  {account, quotaUnits, route}: Admission,
  {requestId, tokens, resumedRequestId, lastEventId}: RequestHead,
): void {
  if (!account?.quota) return;
  // Requests without a token count use almost none of a quota, so they are
  // charged at the highest priority.
  const priority = tokens === null ? 0 : route.priority;
  const waitMs = quotaLedger.charge(
    account.name,
    account.quota,
    quotaUnits,
    clock.monotonicMs(),
    priority,
  );
  if (waitMs === 0) return;
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
