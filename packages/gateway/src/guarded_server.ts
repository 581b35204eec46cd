import type {Logger} from '@fescuespool/common';
import http from 'node:http';
import type {ServerResponse} from 'node:http';
import {limitConnections} from './connection_limit.js';
import type {EarlyClose} from './early_close.js';
import {describeEarlyClose} from './early_close.js';
import type {GatewayMetrics, UnrulyReason} from './gateway_metrics.js';
import type {ServeRequest} from './pipeline_gate.js';
import {PipelineGate} from './pipeline_gate.js';
import type {GatewaySettings} from './settings.js';
import {maxConnectionsOf} from './settings.js';
import {answerUnservable, refuseWithoutHost} from './unservable_input.js';

/** Limits of a server for callers that nobody controls. */
export interface ServerGuard {
  /** Name of the server, for the log. */
  readonly server: 'callers' | 'ready' | 'metrics' | 'tunnels';
  readonly maxConnections: number;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
}

/** Returns a function that returns the limits of a server. */
export function createGuards(
  settings: GatewaySettings,
  log: Logger,
  metrics: GatewayMetrics,
): (server: ServerGuard['server']) => ServerGuard {
  return server => ({
    server,
    maxConnections: maxConnectionsOf(server, settings),
    log,
    metrics,
  });
}

/**
 * Creates an HTTP server that bounds connections and requests sent ahead.
 * `isPassedOn` tells of an open request whether an upstream may be at work on it.
 */
export function createGuardedServer(
  options: http.ServerOptions,
  guard: ServerGuard,
  serve: ServeRequest,
  isPassedOn: (res: ServerResponse) => boolean = () => false,
): http.Server {
  const gate = new PipelineGate(refuseWithoutHost(serve), {
    onCut: dropped => recordCut(guard, 'requests_sent_ahead', dropped),
    onClosed: (socket, open, unserved) => {
      const {listening} = server;
      const close = describeEarlyClose(socket, open, isPassedOn, listening);
      if (close) recordEarlyClose(guard, close);
      if (unserved === 0) return;
      guard.log.info('requests_unserved', {server: guard.server, unserved});
    },
  });
  const server = http.createServer(
    // Node.js would refuse the request without the gate.
    {...options, requireHostHeader: false},
    (req, res) => gate.handle(req, res),
  );
  answerUnservable(server, gate);
  guardConnections(server, guard);
  return server;
}

/** Bounds the connections of a server. */
export function guardConnections(
  server: http.Server,
  guard: ServerGuard,
): void {
  const bodiesEnd = guard.server !== 'tunnels';
  limitConnections(server, guard.maxConnections, bodiesEnd, () =>
    recordCut(guard, 'too_many_connections', 0),
  );
}

function recordCut(
  {server, log, metrics}: ServerGuard,
  reason: UnrulyReason,
  dropped: number,
): void {
  metrics.recordUnruly(reason);
  log.warn('connection_cut', {server, reason, dropped});
}

function recordEarlyClose(
  {server, log, metrics}: ServerGuard,
  close: EarlyClose,
): void {
  metrics.recordEarlyClose(close);
  log.warn('connection_closed_early', {server, ...close});
}
