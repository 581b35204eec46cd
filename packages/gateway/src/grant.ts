import type {Placement, RunEnd} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';

/** A placement with the id by which its grant is known to the dispatcher. */
export interface Grant extends Placement {
  readonly grantId: string;
  /** Software version as which the upstream was confirmed; null if not. */
  readonly confirmedVersion: string | null;
}

/** Logs that an upstream was granted, with the inputs of the decision. */
export function logPlacement(
  {log, metrics, dispatchClient, upstreamPaths, limitObserver}: GatewayContext,
  grant: Grant,
  fields: {id: string; service: string; send: number},
): void {
  const {upstream, waitedMs, freeSlots, isOnTrial, expectedStartMs} = grant;
  const {heldTokens, rereadTokens} = grant;
  metrics.recordPromptTokens('held', heldTokens);
  metrics.recordPromptTokens('reread', rereadTokens);
  log.info('placed', {
    ...fields,
    upstream: upstream.instanceId,
    waitedMs: Math.round(waitedMs),
    freeSlots,
    isOnTrial,
    expectedStartMs: Math.round(expectedStartMs),
    heldTokens: heldTokens || undefined,
    rereadTokens: rereadTokens || undefined,
    version: upstream.softwareVersion ?? undefined,
    grantedBy: dispatchClient.granterOf(grant.grantId),
    isTunnelled: upstreamPaths.usesTunnel(upstream.address) || undefined,
    limitPerS: limitObserver.limitToldBy(upstream) ?? undefined,
  });
}

/** Returns a grant unused, so that its slot is free again. */
export function returnGrant(
  {log, dispatchClient}: GatewayContext,
  id: string,
  {upstream, grantId}: Grant,
  end: RunEnd,
): void {
  log.info('grant_handed_back', {id, upstream: upstream.instanceId});
  dispatchClient.reportEnd({
    requestId: grantId,
    end,
    runMs: 0,
    eventGapMs: null,
    load: null,
  });
}
