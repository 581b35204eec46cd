import type {RunEnd, UpstreamSpec} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';

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
  upstream: UpstreamSpec,
  {upstreams, upstreamStatements}: GatewayContext,
): UnusableGrant | null {
  if (upstreams.isLeaving(upstream)) {
    return {end: RUN_END.LEAVING, pauseLeftMs: 0};
  }
  if (upstreams.isReplaced(upstream)) {
    return {end: RUN_END.REPLACED, pauseLeftMs: 0};
  }
  const pauseLeftMs = upstreamStatements.pauseLeftMs(upstream);
  return pauseLeftMs > 0 ? {end: RUN_END.CANCELLED, pauseLeftMs} : null;
}
