import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {ROUTE_KIND} from './constants.js';
import type {EarlyClose} from './early_close.js';
import type {Route} from './types.js';

const PREFIX = 'fescuespool_';

/** Upper bounds in milliseconds of the latency histograms' buckets. */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

const ROUTE_LABELS = ['class', 'priority'] as const;

/** Metric labels that classify requests; each has few distinct values. */
export interface RouteLabels {
  /** Route kind, `resumable_stream`, or `none` where no route was found. */
  readonly class: string;
  readonly priority: string;
}

/** Why a caller's request was refused unread, or its connection closed. */
export type UnrulyReason =
  | 'requests_sent_ahead'
  | 'head_dropped'
  | 'head_refused'
  | 'head_too_large'
  | 'body_dropped'
  | 'body_too_slow'
  | 'body_unwanted'
  | 'too_many_connections';

/** Counters and histograms of a gateway; durations are in milliseconds. */
export interface GatewayMetrics {
  /** Records how a request ended; `reason` is its status or refusal reason. */
  readonly recordRequestEnd: (
    route: RouteLabels,
    outcome: 'answered' | 'refused' | 'caller_left',
    reason: string,
    answerMs: number,
  ) => void;
  /** Records how long a request waited in a queue for an upstream. */
  readonly recordQueueWait: (
    route: RouteLabels,
    outcome: 'placed' | 'refused' | 'aborted',
    waitMs: number,
  ) => void;
  /** Records how one send to an upstream ended. */
  readonly recordSendEnd: (
    route: RouteLabels,
    upstreamState: string,
    end: string,
  ) => void;
  /** Records what probing an upstream after a broken connection showed. */
  readonly recordProbe: (
    route: RouteLabels,
    result: string,
    hasBegun: boolean,
  ) => void;
  /** Records that a stream goes on, and whether at the version that began it. */
  readonly recordResume: (
    route: RouteLabels,
    by: 'gateway' | 'caller',
    version: 'same' | 'other' | 'unknown',
  ) => void;
  /** Records the time from a send to its stream's first event, and the expected. */
  readonly recordFirstEvent: (
    route: RouteLabels,
    upstreamState: string,
    startMs: number,
    expectedStartMs: number,
  ) => void;
  /** Records the mean time between two events of a stream. */
  readonly recordEventGap: (
    route: RouteLabels,
    upstreamState: string,
    gapMs: number,
  ) => void;
  /** Records prompt tokens that a granted upstream holds, or reads again. */
  readonly recordPromptTokens: (
    outcome: 'held' | 'reread',
    tokens: number,
  ) => void;
  /** Records that a response was given up for the budget of all responses. */
  readonly recordResponseDropped: () => void;
  /** Records that a limit for callers refused a request or a connection. */
  readonly recordUnruly: (reason: UnrulyReason) => void;
  /** Records that a connection was closed before its responses were written. */
  readonly recordEarlyClose: (close: EarlyClose) => void;
  /** Sets the gauge of a name and label. */
  readonly setGauge: (name: string, label: string, value: number) => void;
  /** Returns all metrics in the Prometheus text format. */
  readonly renderText: () => Promise<string>;
}

/** Labels of a route; null for a request refused before it had a route. */
export function routeLabels(route: Route | null): RouteLabels {
  if (!route) return {class: 'none', priority: ''};
  const isResumable = route.kind === ROUTE_KIND.STREAM && route.isResumable;
  return {
    class: isResumable ? 'resumable_stream' : route.kind,
    priority: String(route.priority),
  };
}

/** Creates the metrics of a process, registering each name once. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: 'Requests by their end',
    labelNames: [...ROUTE_LABELS, 'outcome', 'reason'],
    registers,
  });
  const sends = new Counter({
    name: `${PREFIX}sends_total`,
    help: 'Sends to upstreams by their end',
    labelNames: [...ROUTE_LABELS, 'upstream_state', 'end'],
    registers,
  });
  const probes = new Counter({
    name: `${PREFIX}upstream_probes_total`,
    help: 'Probes of upstreams after a broken connection by their result',
    labelNames: [...ROUTE_LABELS, 'result', 'begun'],
    registers,
  });
  const resumes = new Counter({
    name: `${PREFIX}streams_resumed_total`,
    help: 'Streams that went on, by the software version that began them',
    labelNames: [...ROUTE_LABELS, 'by', 'version'],
    registers,
  });
  const responsesDropped = new Counter({
    name: `${PREFIX}responses_dropped_total`,
    help: 'Responses given up for the budget of all responses',
    registers,
  });
  const promptTokens = new Counter({
    name: `${PREFIX}prompt_tokens_total`,
    help: 'Tokens of prompts that an upstream held when a request was sent',
    labelNames: ['outcome'],
    registers,
  });
  const unruly = new Counter({
    name: `${PREFIX}unruly_callers_total`,
    help: 'Requests refused and connections closed by limits for callers',
    labelNames: ['reason'],
    registers,
  });
  const earlyCloses = new Counter({
    name: `${PREFIX}requests_closed_early_total`,
    help: 'Requests whose connection was closed before their responses',
    labelNames: ['reason', 'passed_on'],
    registers,
  });
  const stateGauges = new Gauge({
    name: `${PREFIX}state`,
    help: 'Present figures by name and label',
    labelNames: ['name', 'label'],
    registers,
  });
  const histogram = <Label extends string>(
    name: string,
    help: string,
    label: Label,
  ): Histogram<(typeof ROUTE_LABELS)[number] | Label> =>
    new Histogram({
      name: PREFIX + name,
      help,
      labelNames: [...ROUTE_LABELS, label],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
  const requestDurations = histogram(
    'answer_ms',
    'From the request to the end of its answer',
    'outcome',
  );
  const queueWaits = histogram(
    'queue_wait_ms',
    'Wait for an upstream',
    'outcome',
  );
  const firstEventDelays = histogram(
    'first_event_ms',
    'From a send to the first event of its stream',
    'upstream_state',
  );
  const firstEventErrors = histogram(
    'first_event_error_ms',
    'Difference between the expected and the seen time to the first event',
    'direction',
  );
  const eventGaps = histogram(
    'event_gap_ms',
    'Mean time between two events of a stream',
    'upstream_state',
  );
  return {
    recordRequestEnd: (route, outcome, reason, answerMs) => {
      requests.inc({...route, outcome, reason});
      requestDurations.observe({...route, outcome}, answerMs);
    },
    recordQueueWait: (route, outcome, waitMs) =>
      queueWaits.observe({...route, outcome}, waitMs),
    recordSendEnd: (route, upstreamState, end) =>
      sends.inc({...route, upstream_state: upstreamState, end}),
    recordProbe: (route, result, hasBegun) =>
      probes.inc({...route, result, begun: String(hasBegun)}),
    recordFirstEvent: (route, upstreamState, startMs, expectedStartMs) => {
      firstEventDelays.observe(
        {...route, upstream_state: upstreamState},
        startMs,
      );
      const direction = startMs > expectedStartMs ? 'later' : 'sooner';
      firstEventErrors.observe(
        {...route, direction},
        Math.abs(startMs - expectedStartMs),
      );
    },
    recordEventGap: (route, upstreamState, gapMs) =>
      eventGaps.observe({...route, upstream_state: upstreamState}, gapMs),
    recordResume: (route, by, version) => resumes.inc({...route, by, version}),
    recordPromptTokens: (outcome, tokens) =>
      promptTokens.inc({outcome}, tokens),
    recordResponseDropped: () => responsesDropped.inc(),
    recordUnruly: reason => unruly.inc({reason}),
    recordEarlyClose: ({reason, open, passedOn}) => {
      earlyCloses.inc({reason, passed_on: 'true'}, passedOn);
      earlyCloses.inc({reason, passed_on: 'false'}, open - passedOn);
    },
    setGauge: (name, label, value) => stateGauges.set({name, label}, value),
    renderText: () => registry.metrics(),
  };
}
