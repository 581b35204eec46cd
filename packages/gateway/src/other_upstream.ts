import type {GrantRequest, RunEnd} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';
import type {Grant} from './grant.js';
import {returnGrant} from './grant.js';
import {checkGrant, confirmLife} from './grant_check.js';

/**
 * Looks for an upstream that can take a request over from a silent one; null if
 * none is granted or the signal is aborted first. No grant is kept then.
 */
export async function seekOtherUpstream(
  gateway: GatewayContext,
  id: string,
  service: string,
  request: GrantRequest,
  signal: AbortSignal,
): Promise<Grant | null> {
  const {upstreams, dispatchClient, log} = gateway;
  const {requiredVersion, excluded} = request;
  if (!upstreams.hasOther(service, requiredVersion, excluded)) {
    log.info('other_upstream_not_found', {id, service, reason: 'none_listed'});
    return null;
  }
  const answer = await dispatchClient.acquire(service, request, signal);
  if (answer.kind !== 'placed') {
    const reason = answer.kind === 'refused' ? answer.reason : answer.kind;
    log.info('other_upstream_not_found', {id, service, reason});
    return null;
  }
  const grant = {
    ...answer.placement,
    grantId: request.requestId,
    confirmedVersion: requiredVersion,
  };
  const end = await reasonToReturn(gateway, id, grant, request, signal);
  if (end === null) return grant;
  returnGrant(gateway, id, grant, end);
  return null;
}

/** End to report for a grant that can't be used; null for one that can. */
async function reasonToReturn(
  gateway: GatewayContext,
  id: string,
  {upstream, isTrial}: Grant,
  {requiredVersion, excluded}: GrantRequest,
  signal: AbortSignal,
): Promise<RunEnd | null> {
  const {instanceId, softwareVersion} = upstream;
  if (excluded.includes(instanceId)) return RUN_END.CANCELLED;
  const unusable = checkGrant({upstream, isTrial}, gateway);
  if (unusable) return unusable.end;
  if (requiredVersion === null) return null;
  if (requiredVersion !== softwareVersion) return RUN_END.CANCELLED;
  try {
    const end = await confirmLife(upstream, id, signal, gateway);
    return end ?? checkGrant({upstream, isTrial}, gateway)?.end ?? null;
  } catch (e) {
    const err = e instanceof Error ? e.message : String(e);
    gateway.log.error('life_check_failed', {upstream: instanceId, err});
    return RUN_END.UNREACHABLE;
  }
}
