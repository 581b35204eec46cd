import type {Placement, RunEnd, UpstreamSpec} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';
import {checkLife} from './upstream_life.js';

/** End to report for an upstream that is not in the life that is required. */
const END_BY_LIFE = {
  replaced: RUN_END.REPLACED,
  unreachable: RUN_END.UNREACHABLE,
  // A sound upstream may be silent for a while.
  silent: RUN_END.CANCELLED,
} as const;

/**
 * Milliseconds for which an upstream is passed over whose version may not be used:
 * the owner of the queue may learn later of an order or a verdict.
 */
const FORBIDDEN_VERSION_MS = 200;

/** Why a granted upstream may not be used. */
export interface UnusableGrant {
  /** End to report, with which the grant is returned. */
  readonly end: RunEnd;
  /** Milliseconds for which the upstream wants no requests; 0 if not paused. */
  readonly pauseLeftMs: number;
}

/**
 * Checks a granted upstream against what this gateway knows of it, which the
 * dispatcher may not know yet; null if it may be used.
 */
export function checkGrant(
  {upstream, isTrial}: Pick<Placement, 'upstream' | 'isTrial'>,
  {upstreams, upstreamStatements, rollouts}: GatewayContext,
): UnusableGrant | null {
  if (upstreams.isLeaving(upstream)) {
    return {end: RUN_END.LEAVING, pauseLeftMs: 0};
  }
  if (upstreams.isReplaced(upstream)) {
    return {end: RUN_END.REPLACED, pauseLeftMs: 0};
  }
  const service = upstreams.serviceOf(upstream.instanceId);
  if (rollouts.forbids(service, upstream, isTrial)) {
    return {end: RUN_END.CANCELLED, pauseLeftMs: FORBIDDEN_VERSION_MS};
  }
  const pauseLeftMs = upstreamStatements.pauseLeftMs(upstream);
  return pauseLeftMs > 0 ? {end: RUN_END.CANCELLED, pauseLeftMs} : null;
}

/**
 * Asks a granted upstream whether it is in its registered life; the end to report
 * if that is not confirmed, null if it is.
 */
export async function confirmLife(
  upstream: UpstreamSpec,
  requestId: string,
  signal: AbortSignal,
  gateway: GatewayContext,
): Promise<RunEnd | null> {
  const {wireFormat, upstreamPaths, upstreamStatements, log} = gateway;
  const life = await checkLife(
    upstream,
    wireFormat,
    upstreamPaths,
    signal,
    (head, socket) => {
      gateway.confirmedConnections.add(socket, upstream);
      upstreamStatements.recordResponse({upstream, head, socket, requestId});
    },
  );
  if (life === 'same') return null;
  log.warn('upstream_life_unconfirmed', {
    id: requestId,
    upstream: upstream.instanceId,
    life,
  });
  return signal.aborted ? RUN_END.CANCELLED : END_BY_LIFE[life];
}
