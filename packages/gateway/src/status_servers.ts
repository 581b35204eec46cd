import type http from 'node:http';
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {ServerGuard} from './guarded_server.js';
import {createGuardedServer} from './guarded_server.js';
import {hasBodyHeaders} from './open_request.js';
import {refuseWithoutRoom} from './unservable_input.js';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** Largest request head in bytes; probes and scrapes send a few hundred. */
const MAX_STATUS_HEADER_BYTES = 16_384;

/** Time in milliseconds for a request head. */
const STATUS_HEADERS_TIMEOUT_MS = 10_000;

/** Time in milliseconds between two checks of that time. */
const STATUS_CHECK_INTERVAL_MS = 5_000;

const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: MAX_STATUS_HEADER_BYTES,
  headersTimeout: STATUS_HEADERS_TIMEOUT_MS,
  connectionsCheckingInterval: STATUS_CHECK_INTERVAL_MS,
};

/**
 * Creates the server of the load balancer's readiness probe, which calls
 * `onChange` when its response differs from that to the last probe.
 */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
  onChange: (isReady: boolean) => void,
  guard: ServerGuard,
): http.Server {
  let wasReady = false;
  const serve: RequestListener = (req, res) => {
    closeIfBody(req, res);
    if (req.url !== path) {
      res.writeHead(NOT_FOUND).end();
      return;
    }
    const isReadyNow = isReady();
    if (isReadyNow !== wasReady) onChange(isReadyNow);
    wasReady = isReadyNow;
    res.writeHead(isReadyNow ? OK : SERVICE_UNAVAILABLE).end();
  };
  return createGuardedServer(SERVER_OPTIONS, guard, refuseWithoutRoom(serve));
}

/**
 * Creates the server of the metrics in the Prometheus text format; `refresh`
 * sets the gauges before each response. Paths with a listener are not metrics.
 */
export function createMetricsServer(
  metrics: GatewayMetrics,
  refresh: () => void,
  guard: ServerGuard,
  listeners: Readonly<Record<string, RequestListener>> = {},
): http.Server {
  const serve: RequestListener = (req, res) => {
    const listener = listeners[req.url ?? ''];
    if (listener) {
      listener(req, res);
      return;
    }
    closeIfBody(req, res);
    refresh();
    void metrics.renderText().then(text => {
      res.writeHead(OK, {'content-type': 'text/plain; version=0.0.4'});
      res.end(text);
    });
  };
  return createGuardedServer(SERVER_OPTIONS, guard, refuseWithoutRoom(serve));
}

/** Bodies are not read here: the response ends the connection. */
function closeIfBody(req: IncomingMessage, res: ServerResponse): void {
  if (!req.complete && hasBodyHeaders(req)) res.shouldKeepAlive = false;
}
