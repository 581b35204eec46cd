import {sleep} from '@fescuespool/common';
import type {Server} from 'node:http';
import {whenBacklogAccepted} from './accept_backlog.js';
import type {CallerServer} from './caller_server.js';
import type {IdleConnections} from './idle_connections.js';
import {
  DEREGISTRATION_DELAY_MS,
  LAST_RESPONSE_MARGIN_MS,
  STOP_MARGIN_MS,
} from './stop_constants.js';
import type {GatewayContext} from './gateway_context.js';

/** What serves callers and has to end. */
export interface StoppedServers {
  readonly callerServer: CallerServer;
  readonly callerHttpServer: Server;
  readonly idleConnections: IdleConnections;
}

/**
 * Ends the service to callers within stopGraceMs less STOP_MARGIN_MS: hands queues
 * over, lets begin what can still end, and waits for open requests and for the
 * tunnels of neighbours.
 */
export async function stopGracefully(
  {clock, log, members, settings, stopGate, upstreamPaths}: GatewayContext,
  {callerServer, callerHttpServer, idleConnections}: StoppedServers,
  /** Milliseconds that may have passed since the signal to stop. */
  lateMs: number,
): Promise<void> {
  const exitAtMs = clock.monotonicMs() + settings.stopGraceMs - lateMs;
  const endsAtMs = exitAtMs - STOP_MARGIN_MS;
  const open = callerServer.openResponseCount;
  log.info('gateway_stopping', {open, lateMs: Math.round(lateMs)});
  stopGate.beginGrace(endsAtMs - LAST_RESPONSE_MARGIN_MS, exitAtMs);
  callerServer.isDraining = true;
  members.leave();
  await sleep(DEREGISTRATION_DELAY_MS);
  callerServer.refuseNewRequests();
  await whenBacklogAccepted(callerHttpServer, clock);
  callerHttpServer.close();
  callerHttpServer.closeIdleConnections();
  const limitMs = Math.max(0, endsAtMs - clock.monotonicMs());
  const idle = [
    idleConnections
      .whenClosed()
      .then(() => callerServer.whenIdle())
      .then(() => idleConnections.lingering.whenNone()),
    upstreamPaths.tunnels.whenIdle(),
  ];
  await Promise.race([Promise.all(idle), sleep(limitMs)]);
  stopGate.close();
  log.info('gateway_stopped', {
    endedEarly: stopGate.endedEarly,
    coreShare: Number(stopGate.coreShare.toFixed(3)),
    cut: callerServer.openResponseCount,
    ...callerServer.countOpenResponses(),
  });
}
