import type {ValueOf} from '@fescuespool/common';
import type {UpstreamSpec} from '@fescuespool/scheduling';
import {MAX_ZONE_PROBES} from './constants.js';
import type {GatewayContext} from './gateway_context.js';
import type {RouteLabels} from './gateway_metrics.js';
import type {OpenRequest} from './open_request.js';
import {partIds} from './prompt_parts.js';

/** What probing an upstream shows after a connection to it has failed. */
const PROBE_RESULT = {
  ALIVE: 'alive',
  DIED: 'died',
  /** Nor do the other probed upstreams of its zone accept connections. */
  ZONE_UNREACHABLE: 'zone_unreachable',
  /** It ended as it had said. */
  LEFT: 'left',
} as const;

/**
 * Finds out whether an upstream has died. If the probed upstreams in its zone
 * can't be reached either, a network partition is assumed, which says nothing
 * about the request.
 */
async function probeUpstream(
  {upstreamPaths, upstreams}: GatewayContext,
  upstream: UpstreamSpec,
): Promise<ValueOf<typeof PROBE_RESULT>> {
  if (await upstreamPaths.accepts(upstream.address)) return PROBE_RESULT.ALIVE;
  if (upstreams.hasSaidLeaving(upstream)) return PROBE_RESULT.LEFT;
  const others = upstreams.othersInZone(upstream, MAX_ZONE_PROBES);
  const probeResults = await Promise.all(
    others.map(({address}) => upstreamPaths.accepts(address)),
  );
  const isZoneReachable =
    probeResults.length === 0 || probeResults.includes(true);
  return isZoneReachable ? PROBE_RESULT.DIED : PROBE_RESULT.ZONE_UNREACHABLE;
}

/**
 * Probes an upstream whose connection broke during a request, and announces its
 * death if it has died.
 */
export async function checkForDeath(
  gateway: GatewayContext,
  {fingerprint, head}: OpenRequest,
  upstream: UpstreamSpec,
  send: {readonly labels: RouteLabels; readonly hasBegun: boolean},
): Promise<void> {
  const {log, metrics, crashGuard} = gateway;
  const {labels, hasBegun} = send;
  const result = await probeUpstream(gateway, upstream);
  log.info('upstream_probed', {
    id: head.requestId,
    upstream: upstream.instanceId,
    result,
    hasBegun,
    fingerprint,
    promptParts: partIds(head.promptParts).join(',') || undefined,
  });
  metrics.recordProbe(labels, result, hasBegun);
  if (result !== PROBE_RESULT.DIED) return;
  const parts = hasBegun ? [] : partIds(head.promptParts);
  crashGuard.announceDeath(upstream.instanceId, {fingerprint, parts});
}
