import {USAGE_HUB_KEY} from './constants.js';
import type {Dispatcher} from './dispatcher.js';
import type {GatewayContext} from './gateway_context.js';

/** Sets the gauges to the present state, before the metrics are served. */
export function updateGauges(
  {
    metrics,
    configState,
    members,
    crashGuard,
    limitObserver,
    upstreams,
    upstreamPaths,
    upstreamStatements,
    callerBudget,
  }: GatewayContext,
  dispatcher: Dispatcher,
): void {
  const {setGauge: gauge} = metrics;
  for (const {service, waiting, running} of dispatcher.queueStats()) {
    gauge('queue_waiting', service, waiting);
    gauge('queue_running', service, running);
  }
  gauge('config_version', '', configState.current?.version ?? 0);
  gauge('members_suspected', '', members.suspectedMembers.length);
  gauge('crash_causes', '', crashGuard.causes.length);
  gauge('upstreams_limited', '', limitObserver.limitedCount);
  gauge('upstreams_leaving_told', '', upstreams.leavingButListed.length);
  gauge('upstreams_paused', '', upstreamStatements.pausedCount);
  gauge('upstream_paths_lost', '', upstreamPaths.lostCount);
  gauge('tunnels_open', '', upstreamPaths.tunnels.count);
  gauge('response_bytes_held', '', callerBudget.usedBytes);
  gauge('usage_hub', '', members.isOwnerOf(USAGE_HUB_KEY) ? 1 : 0);
}
