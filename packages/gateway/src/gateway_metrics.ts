import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const PREFIX = 'fescuespool_';

/** Bounds of the latency histograms in milliseconds. */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/** Counters and histograms of a gateway; labels take few values each. */
export interface GatewayMetrics {
  /** Counts an event by its labels. */
  readonly count: (event: string, labels?: Record<string, string>) => void;
  /** Records a duration in milliseconds. */
  readonly observe: (name: string, ms: number) => void;
  /** Sets a gauge by its label. */
  readonly gauge: (name: string, label: string, value: number) => void;
  /** All figures as text. */
  readonly text: () => Promise<string>;
}

/** Makes the metrics of a process, each name known once. */
export function createGatewayMetrics(): GatewayMetrics {
  const registers = [new Registry()];
  const registry = registers[0]!;
  const events = new Counter({
    name: `${PREFIX}events_total`,
    help: 'Decisions by event and reason',
    labelNames: ['event', 'reason'],
    registers,
  });
  const gauges = new Gauge({
    name: `${PREFIX}state`,
    help: 'Present figures by name and label',
    labelNames: ['name', 'label'],
    registers,
  });
  const histograms = new Map<string, Histogram>();
  return {
    count: (event, labels = {}) =>
      events.inc({event, reason: Object.values(labels).join(',')}),
    observe: (name, ms) => {
      let histogram = histograms.get(name);
      if (!histogram) {
        histogram = new Histogram({
          name: PREFIX + name,
          help: `Milliseconds: ${name.replaceAll('_', ' ')}`,
          buckets: LATENCY_BUCKETS_MS,
          registers,
        });
        histograms.set(name, histogram);
      }
      histogram.observe(ms);
    },
    gauge: (name, label, value) => gauges.set({name, label}, value),
    text: () => registry.metrics(),
  };
}
