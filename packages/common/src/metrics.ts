import {StatsD} from 'hot-shots';
import {MAX_COUNTER_KEYS, METRIC_PREFIX} from './constants.js';
import type {Metrics} from './types.js';

/** Address of the StatsD collector. */
export interface MetricsTarget {
  readonly host: string;
  readonly port: number;
}

function createClient(target: MetricsTarget): StatsD {
  return new StatsD({
    prefix: METRIC_PREFIX,
    host: target.host,
    port: target.port,
    errorHandler: () => undefined,
  });
}

function counterKey(name: string, tags?: Record<string, string>): string {
  if (!tags) return name;
  const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
  return `${name}{${pairs.join(',')}}`;
}

/** Creates the metrics of a process; without a target, none are sent. */
export function createMetrics(target?: MetricsTarget): Metrics {
  const client = target && createClient(target);
  const totals = new Map<string, number>();
  return {
    increment: (name, tags) => {
      client?.increment(name, 1, tags);
      const key = counterKey(name, tags);
      if (totals.size >= MAX_COUNTER_KEYS && !totals.has(key)) return;
      totals.set(key, (totals.get(key) ?? 0) + 1);
    },
    gauge: (name, value) => client?.gauge(name, value),
    timing: (name, ms) => client?.timing(name, ms),
    counters: () => Object.fromEntries(totals),
  };
}
