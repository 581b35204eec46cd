import type {Logger} from '@fescuespool/common';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {limitConnections} from './connection_limit.js';
import type {EarlyClose} from './early_close.js';
import {describeEarlyClose} from './early_close.js';
import type {GatewayMetrics, UnrulyReason} from './gateway_metrics.js';
import type {HeadBudget} from './head_budget.js';
import {stripHead} from './head_budget.js';
import {lastResponse} from './last_response.js';
import type {PipelineEvents, ServeRequest} from './pipeline_gate.js';
import {PipelineGate} from './pipeline_gate.js';
import type {FeedEvents} from './request_feed.js';
import {feedRequests} from './request_feed.js';
import type {GatewaySettings} from './settings.js';
import {maxConnectionsOf} from './settings.js';
import {
  answerUnservable,
  refuseWithoutHost,
  RETRY_AFTER,
  SERVICE_UNAVAILABLE,
} from './unservable_input.js';

/** Value of `http.Server.maxHeadersCount` with which no field is left out. */
const ALL_FIELDS = 0;

/** Limits of a server for callers that nobody controls. */
export interface ServerGuard {
  /** Name of the server, for the log. */
  readonly server: 'callers' | 'ready' | 'metrics' | 'tunnels';
  readonly maxConnections: number;
  /** Where the heads of its requests are charged. */
  readonly heads: HeadBudget;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
}

/** Returns a function that returns the limits of a server. */
export function createGuards(
  settings: GatewaySettings,
  heads: HeadBudget,
  log: Logger,
  metrics: GatewayMetrics,
): (server: ServerGuard['server']) => ServerGuard {
  return server => ({
    server,
    maxConnections: maxConnectionsOf(server, settings),
    heads,
    log,
    metrics,
  });
}

/** What a server knows of its requests. */
export interface RequestInspector {
  /** Whether an open request has been sent to an upstream. */
  isPassedOn(res: ServerResponse): boolean;
  /** Whether the response to a request may be cut off after it has begun. */
  mayBeCut(req: IncomingMessage): boolean;
}

const NO_UPSTREAMS: RequestInspector = {
  isPassedOn: () => false,
  mayBeCut: () => false,
};

/**
 * Creates an HTTP server that bounds connections, requests sent ahead and what
 * their heads hold.
 */
export function createGuardedServer(
  options: http.ServerOptions,
  guard: ServerGuard,
  serve: ServeRequest,
  inspector: RequestInspector = NO_UPSTREAMS,
): http.Server {
  const events: PipelineEvents = {
    onCut: (dropped, reason) => recordCut(guard, reason, dropped),
    onClosed: (socket, open, unserved, cutBy) => {
      const {listening} = server;
      const close = describeEarlyClose(
        socket,
        open,
        cutBy,
        res => inspector.isPassedOn(res),
        listening,
      );
      if (close) recordEarlyClose(guard, close);
      if (unserved === 0) return;
      guard.log.info('requests_unserved', {server: guard.server, unserved});
    },
  };
  const serveValid = refuseWithoutHost(serve);
  const gate = new PipelineGate(
    serveValid,
    events,
    req => inspector.mayBeCut(req),
    guard.heads,
  );
  const server = http.createServer(
    // Node.js would refuse the request without the gate.
    {...options, requireHostHeader: false},
    (req, res) => gate.handle(req, res),
  );
  answerUnservable(server, gate);
  boundConnections(server, guard, {
    isBusy: socket => gate.isBusy(socket),
    isHeldBack: (socket, countAhead) => gate.isHeldBack(socket, countAhead),
    onUnreadable: socket =>
      gate.end(socket, lastResponse(SERVICE_UNAVAILABLE, RETRY_AFTER)),
  });
  return server;
}

/** Bounds the connections of the tunnel server, and what their heads hold. */
export function guardTunnels(server: http.Server, guard: ServerGuard): void {
  // A tunnel lasts far longer than its head is needed.
  server.on('request', stripHead);
  boundConnections(server, guard, {
    isBusy: () => false,
    isHeldBack: () => false,
    onUnreadable: () => undefined,
  });
}

function boundConnections(
  server: http.Server,
  guard: ServerGuard,
  events: Omit<FeedEvents, 'onClosed'>,
): void {
  server.maxHeadersCount = ALL_FIELDS;
  const bodiesEnd = guard.server !== 'tunnels';
  limitConnections(server, guard.maxConnections, bodiesEnd, () =>
    recordCut(guard, 'too_many_connections', 0),
  );
  feedRequests(server, guard.heads, {
    ...events,
    onClosed: () => recordCut(guard, 'head_dropped', 0),
  });
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
