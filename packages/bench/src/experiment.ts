import {newId, sleep} from '@fescuespool/common';
import type {PlacementPolicyName} from '@fescuespool/coordination';
import {promptText} from '@fescuespool/protocol';
import {Balancer} from './balancer.js';
import type {CallResult} from './caller.js';
import {callChat} from './caller.js';
import {CALL_END} from './constants.js';
import type {
  Arrival,
  Experiment,
  RunFigures,
  TierFigures,
} from './experiment_types.js';
import type {FleetPlan} from './fleet.js';
import {Fleet} from './fleet.js';
import {percentile} from './histogram.js';
import {makeFleetConfig} from './local_fleet_plan.js';
import {createRandom} from './random.js';
import {countEnds} from './traffic.js';
import {findExecutionBreaches} from './execution_checks.js';
import {
  countUniqueTokens,
  makeArrivals,
  tierAccounts,
  totalSlots,
} from './workload.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const LATENCY_PERCENTILE = 95;
const KILLED_ENTRY_ID = 'entry-2';
/** Time in milliseconds for the last runs to end after the last call. */
const DRAIN_MS = 1_500;
/** Most attempts at one request, the first included. */
const MAX_ATTEMPTS = 4;
/** Pause in milliseconds before a request whose connection broke is retried. */
const RETRY_DELAY_MS = 100;

interface FinishedCall {
  readonly arrival: Arrival;
  readonly result: CallResult;
}

/** Makes the fleet plan of an experiment under one placement policy. */
export function makeFleetPlan(
  experiment: Experiment,
  policy: PlacementPolicyName,
): FleetPlan {
  const accounts: Record<string, {tier: string; weight: number}> = {};
  for (const {tier} of experiment.tiers) {
    for (const id of tierAccounts(tier)) accounts[id] = {tier, weight: 1};
  }
  const config = makeFleetConfig(accounts);
  return {
    daemons: [0, 1, 2, 3].map(i => ({
      id: `entry-${i + 1}`,
      zone: ZONES[i % ZONES.length]!,
    })),
    upstreams: experiment.engines.map((engine, i) => {
      const {slots, ...settings} = engine;
      return {
        id: `engine-${i + 1}`,
        kind: 'model',
        service: 'assist',
        zone: ZONES[i % ZONES.length]!,
        slots,
        settings,
      };
    }),
    config: {
      ...config,
      tiers: experiment.tiers.map(({tier}) => ({name: tier})),
    },
    policy,
    settings: {logLevel: 'warn'},
  };
}

/**
 * Sends a request and, while its connection breaks, retries it under the same
 * idempotency key through a newly picked entry. Times count from when the
 * request was due, not from when it was sent.
 */
async function callWithRetries(
  balancer: Balancer,
  arrival: Arrival,
  dueAt: number,
): Promise<FinishedCall> {
  const {account, prompt, maxTokens, deadlineMs} = arrival;
  const key = newId();
  for (let attempt = 1; ; attempt++) {
    const elapsedMs = performance.now() - dueAt;
    const result = await callChat({
      url: balancer.pickEntryUrl(),
      account,
      service: 'assist',
      prompt,
      maxTokens,
      deadlineMs: Math.max(1, Math.round(deadlineMs - elapsedMs)),
      stream: true,
      key,
    });
    const totalMs = performance.now() - dueAt;
    const isLastAttempt = totalMs >= deadlineMs || attempt >= MAX_ATTEMPTS;
    if (result.end !== CALL_END.BROKEN || isLastAttempt) {
      const sentAfterMs = totalMs - result.totalMs;
      const firstTokenMs =
        result.firstTokenMs === null ? null : result.firstTokenMs + sentAfterMs;
      return {arrival, result: {...result, totalMs, firstTokenMs}};
    }
    await sleep(RETRY_DELAY_MS);
  }
}

/** Sends each request when it is due, without waiting for earlier ones. */
async function sendArrivals(
  fleet: Fleet,
  arrivals: readonly Arrival[],
  seed: number,
): Promise<FinishedCall[]> {
  const balancer = new Balancer(fleet, createRandom(seed));
  const startedAt = performance.now();
  const pending: Array<Promise<FinishedCall>> = [];
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival.atMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    pending.push(callWithRetries(balancer, arrival, startedAt + arrival.atMs));
  }
  const calls = await Promise.all(pending);
  balancer.close();
  return calls;
}

function isInTime({arrival, result}: FinishedCall): boolean {
  return (
    result.end === CALL_END.COMPLETE &&
    result.isCorrect &&
    result.totalMs <= arrival.deadlineMs
  );
}

function computeTierFigures(
  tier: string,
  calls: readonly FinishedCall[],
): TierFigures {
  const tierCalls = calls.filter(item => item.arrival.tier === tier);
  const inTime = tierCalls.filter(isInTime);
  const firstTokenTimesMs = inTime.flatMap(
    ({result}) => result.firstTokenMs ?? [],
  );
  const tokenIntervalsMs = inTime
    .filter(({result}) => result.tokens > 1)
    .map(({result}) => {
      const decodeMs = result.totalMs - (result.firstTokenMs ?? 0);
      return decodeMs / (result.tokens - 1);
    });
  return {
    tier,
    offered: tierCalls.length,
    inTime: inTime.length,
    goodput: tierCalls.length === 0 ? 1 : inTime.length / tierCalls.length,
    firstTokenP95Ms: percentile(firstTokenTimesMs, LATENCY_PERCENTILE),
    tokenIntervalP95Ms: percentile(tokenIntervalsMs, LATENCY_PERCENTILE),
    late: tierCalls.filter(item => item.result.isCorrect && !isInTime(item))
      .length,
    ends: countEnds(tierCalls.map(item => item.result)),
  };
}

/**
 * Computes the highest goodput that the slots' total time allows, if tiers are
 * served in order and the cheapest requests of a tier first.
 */
function computeUpperBound(
  experiment: Experiment,
  arrivals: readonly Arrival[],
): number {
  let slotSecondsLeft = (totalSlots(experiment) * experiment.measureMs) / 1_000;
  let served = 0;
  for (const {tier} of experiment.tiers) {
    const costs = arrivals
      .filter(arrival => arrival.tier === tier)
      .map(arrival => arrival.costSeconds)
      .sort((a, b) => a - b);
    for (const cost of costs) {
      if (cost > slotSecondsLeft) break;
      slotSecondsLeft -= cost;
      served++;
    }
  }
  return served / Math.max(1, arrivals.length);
}

/** Computes the ratio of prompt tokens computed to those that had to be. */
async function computePrefillRatio(
  fleet: Fleet,
  calls: readonly FinishedCall[],
): Promise<number> {
  const records = await fleet.allRecords();
  const promptsByRequestId = new Map(
    calls.map(({arrival, result}) => [result.requestId, arrival.prompt]),
  );
  let computed = 0;
  const prompts: string[] = [];
  for (const record of records) {
    const prompt = promptsByRequestId.get(record.requestId);
    if (prompt === undefined) continue;
    computed += record.computedTokens;
    const messages = [{role: 'user', content: prompt}];
    prompts.push(promptText({model: '', messages}));
  }
  return computed / Math.max(1, countUniqueTokens(prompts));
}

/**
 * In the middle of the measurement, slows the straggler down and, at the loads
 * of `killEntryAt`, kills an entry.
 */
async function injectFaults(
  fleet: Fleet,
  experiment: Experiment,
  load: number,
): Promise<void> {
  await sleep(experiment.warmUpMs + experiment.measureMs / 2);
  const {straggler} = experiment;
  if (straggler) {
    const {slowdown} = straggler;
    await fleet.setFaults(`engine-${straggler.index + 1}`, {slowdown});
  }
  if (experiment.killEntryAt.includes(load)) {
    await fleet.daemon(KILLED_ENTRY_ID).process.kill();
  }
}

/** Runs one policy at one load on a fleet that is started for this run. */
export async function runExperiment(
  experiment: Experiment,
  policy: PlacementPolicyName,
  load: number,
): Promise<RunFigures> {
  const arrivals = makeArrivals(experiment, load);
  const fleet = await Fleet.start(makeFleetPlan(experiment, policy));
  try {
    const faultInjection = injectFaults(fleet, experiment, load);
    const calls = await sendArrivals(fleet, arrivals, experiment.seed);
    await faultInjection;
    await sleep(DRAIN_MS);
    const measuredCalls = calls.filter(
      ({arrival}) => arrival.atMs >= experiment.warmUpMs,
    );
    const results = calls.map(item => item.result);
    const records = await fleet.allRecords();
    const inTimeCount = measuredCalls.filter(isInTime).length;
    return {
      policy,
      load,
      offered: measuredCalls.length,
      goodput: inTimeCount / Math.max(1, measuredCalls.length),
      tiers: experiment.tiers.map(({tier}) =>
        computeTierFigures(tier, measuredCalls),
      ),
      prefillRatio: await computePrefillRatio(fleet, calls),
      breaches: findExecutionBreaches(results, records),
      upperBound: computeUpperBound(
        experiment,
        measuredCalls.map(item => item.arrival),
      ),
    };
  } finally {
    await fleet.close();
  }
}
