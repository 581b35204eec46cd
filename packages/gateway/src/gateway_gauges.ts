import {ROLLOUT_STATE} from '@fescuespool/scheduling';
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
    rollouts,
  }: GatewayContext,
  dispatcher: Dispatcher,
): void {
  const {setGauge: gauge} = metrics;
  for (const {service, ...stats} of dispatcher.queueStats()) {
    gauge('queue_waiting', service, stats.waiting);
    gauge('queue_running', service, stats.running);
    gauge('queue_told_to_return', service, stats.told);
    gauge('queue_returned', service, stats.returned);
    gauge('queue_refused_again', service, stats.refusedAgain);
    gauge('retries_left', service, stats.retriesLeft);
    gauge('retries_granted', service, stats.retriesGranted);
    gauge('retries_refused', service, stats.retriesRefused);
    gauge('retry_requests_counted', service, stats.requestsCounted);
    gauge('prompt_parts_held', service, stats.heldParts);
    gauge('prompt_tokens_disproved', service, stats.disprovedTokens);
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
  gauge('head_bytes_held', '', callerBudget.heads.heldBytes);
  for (const [service, {record}] of rollouts.all) {
    if (!record) continue;
    const {state, isMoving, permitted, arrived, elapsedMs, routes} = record;
    const label = `${service}/${record.target}`;
    gauge('rollout_running', label, state === ROLLOUT_STATE.RUNNING ? 1 : 0);
    gauge(
      'rollout_completed',
      label,
      state === ROLLOUT_STATE.COMPLETED ? 1 : 0,
    );
    gauge('rollout_moving', label, isMoving ? 1 : 0);
    gauge('rollout_elapsed_ms', label, elapsedMs);
    gauge('rollout_requests', label, arrived);
    gauge('rollout_requests_permitted', label, permitted);
    for (const {route, good, bad, alarm, proof} of routes) {
      gauge('rollout_answers_good', `${label}/${route}`, good);
      gauge('rollout_answers_bad', `${label}/${route}`, bad);
      gauge('rollout_alarm', `${label}/${route}`, alarm);
      gauge('rollout_proof', `${label}/${route}`, proof);
    }
  }
  gauge('usage_hub', '', members.isOwnerOf(USAGE_HUB_KEY) ? 1 : 0);
}
