import http from 'node:http';
import type {RequestListener} from 'node:http';
import type {GatewayMetrics} from './gateway_metrics.js';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/**
 * Creates the server of the load balancer's readiness probe, which calls
 * `onChange` when its response differs from that to the last probe.
 */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
  onChange: (isReady: boolean) => void,
): http.Server {
  let wasReady = false;
  return http.createServer((req, res) => {
    if (req.url !== path) {
      res.writeHead(NOT_FOUND).end();
      return;
    }
    const isReadyNow = isReady();
    if (isReadyNow !== wasReady) onChange(isReadyNow);
    wasReady = isReadyNow;
    res.writeHead(isReadyNow ? OK : SERVICE_UNAVAILABLE).end();
  });
}

/**
 * Creates the server of the metrics in the Prometheus text format; `refresh`
 * sets the gauges before each response. Paths with a listener are not metrics.
 */
export function createMetricsServer(
  metrics: GatewayMetrics,
  refresh: () => void,
  listeners: Readonly<Record<string, RequestListener>> = {},
): http.Server {
  return http.createServer((req, res) => {
    const listener = listeners[req.url ?? ''];
    if (listener) {
      listener(req, res);
      return;
    }
    refresh();
    void metrics.renderText().then(text => {
      res.writeHead(OK, {'content-type': 'text/plain; version=0.0.4'});
      res.end(text);
    });
  });
}
