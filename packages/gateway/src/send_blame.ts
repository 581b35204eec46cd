import type {Placement, RunEnd} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';
import type {SendOutcome} from './send_outcome.js';

/**
 * The end of a send as the dispatcher hears of it. If this gateway's own path to
 * the upstream is lost, the failure is no evidence against the upstream.
 */
export async function endToReport(
  outcome: SendOutcome,
  {upstream}: Placement,
  {upstreamPaths}: GatewayContext,
): Promise<RunEnd> {
  const {end, isDone, isConnectionFailure, isOwnFault} = outcome;
  if (end === RUN_END.UNREACHABLE) return isOwnFault ? RUN_END.CANCELLED : end;
  const isSuspect = isConnectionFailure || end === RUN_END.SILENT;
  if (isDone || !isSuspect) return end;
  const isLost = await upstreamPaths.isPathLost(upstream.address);
  return isLost ? RUN_END.CANCELLED : end;
}
