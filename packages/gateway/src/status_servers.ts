import http from 'node:http';
import type {GatewayMetrics} from './gateway_metrics.js';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** Answers the balancer whether callers should be sent here. */
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
    const is = isReady();
    if (is !== wasReady) onChange(is);
    wasReady = is;
    res.writeHead(is ? OK : SERVICE_UNAVAILABLE).end();
  });
}

/** Serves the metrics as text; `refresh` sets the gauges before. */
export function createMetricsServer(
  metrics: GatewayMetrics,
  refresh: () => void,
): http.Server {
  return http.createServer((_req, res) => {
    refresh();
    void metrics.renderText().then(text => {
      res.writeHead(OK, {'content-type': 'text/plain; version=0.0.4'});
      res.end(text);
    });
  });
}
