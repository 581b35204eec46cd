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
import {makeFleetConfig} from './local_plan.js';
import {createRandom} from './random.js';
import {countEnds} from './traffic.js';
import {findExecutionBreaches} from './witness.js';
import {
  makeArrivals,
  tierAccounts,
  totalSlots,
  countUniqueTokens,
} from './workload.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const PERCENTILE = 95;
const KILLED_ENTRY = 'entry-2';
/** Time in milliseconds after the deadlines for the last answers. */
const DRAIN_MS = 1_500;
/** Most sends of one request. */
const MAX_TRIES = 4;
/** Pause in milliseconds before a broken request is sent again. */
const RESEND_DELAY_MS = 100;

interface Answered {
  readonly arrival: Arrival;
  readonly result: CallResult;
}

/** Makes the fleet of an experiment. */
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
 * A caller whose connection breaks sends again under the same key, to another
 * entry. Times count from when the request was due, not from when it was sent.
 */
async function callUntilSettled(
  balancer: Balancer,
  arrival: Arrival,
  dueAt: number,
): Promise<Answered> {
  const {account, prompt, maxTokens, deadlineMs} = arrival;
  const key = newId();
  for (let tries = 1; ; tries++) {
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
    const isOver = totalMs >= deadlineMs || tries >= MAX_TRIES;
    if (result.end !== CALL_END.BROKEN || isOver) {
      const waitedMs = totalMs - result.totalMs;
      const firstTokenMs =
        result.firstTokenMs === null ? null : result.firstTokenMs + waitedMs;
      return {arrival, result: {...result, totalMs, firstTokenMs}};
    }
    await sleep(RESEND_DELAY_MS);
  }
}

/** Sends the arrivals at their times, whatever becomes of the earlier ones. */
async function sendArrivals(
  fleet: Fleet,
  arrivals: readonly Arrival[],
  seed: number,
): Promise<Answered[]> {
  const balancer = new Balancer(fleet, createRandom(seed));
  const startedAt = performance.now();
  const calls: Array<Promise<Answered>> = [];
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival.atMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    calls.push(callUntilSettled(balancer, arrival, startedAt + arrival.atMs));
  }
  const answered = await Promise.all(calls);
  balancer.close();
  return answered;
}

function isInTime({arrival, result}: Answered): boolean {
  return (
    result.end === CALL_END.COMPLETE &&
    result.isRight &&
    result.totalMs <= arrival.deadlineMs
  );
}

function tierFigures(tier: string, answered: readonly Answered[]): TierFigures {
  const own = answered.filter(item => item.arrival.tier === tier);
  const good = own.filter(isInTime);
  const firsts = good.flatMap(({result}) => result.firstTokenMs ?? []);
  const intervals = good
    .filter(({result}) => result.tokens > 1)
    .map(({result}) => {
      const decodeMs = result.totalMs - (result.firstTokenMs ?? 0);
      return decodeMs / (result.tokens - 1);
    });
  return {
    tier,
    offered: own.length,
    inTime: good.length,
    goodput: own.length === 0 ? 1 : good.length / own.length,
    firstTokenP95Ms: percentile(firsts, PERCENTILE),
    tokenIntervalP95Ms: percentile(intervals, PERCENTILE),
    late: own.filter(item => item.result.isRight && !isInTime(item)).length,
    ends: countEnds(own.map(item => item.result)),
  };
}

/** Share of the requests that the slots can serve in tier order. */
function upperBound(
  experiment: Experiment,
  arrivals: readonly Arrival[],
): number {
  let left = (totalSlots(experiment) * experiment.measureMs) / 1_000;
  let served = 0;
  for (const {tier} of experiment.tiers) {
    const costs = arrivals
      .filter(arrival => arrival.tier === tier)
      .map(arrival => arrival.costSeconds)
      .sort((a, b) => a - b);
    for (const cost of costs) {
      if (cost > left) break;
      left -= cost;
      served++;
    }
  }
  return served / Math.max(1, arrivals.length);
}

/** Prompt tokens that were computed over those that had to be. */
async function prefillRatio(
  fleet: Fleet,
  answered: readonly Answered[],
): Promise<number> {
  const records = await fleet.allRecords();
  const byId = new Map(
    answered.map(({arrival, result}) => [result.requestId, arrival.prompt]),
  );
  let computed = 0;
  const prompts: string[] = [];
  for (const record of records) {
    const prompt = byId.get(record.requestId);
    if (prompt === undefined) continue;
    computed += record.computedTokens;
    const messages = [{role: 'user', content: prompt}];
    prompts.push(promptText({model: '', messages}));
  }
  return computed / Math.max(1, countUniqueTokens(prompts));
}

async function disturb(
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
    await fleet.daemon(KILLED_ENTRY).process.kill();
  }
}

/** Runs one policy at one load against a fleet of its own. */
export async function runExperiment(
  experiment: Experiment,
  policy: PlacementPolicyName,
  load: number,
): Promise<RunFigures> {
  const arrivals = makeArrivals(experiment, load);
  const fleet = await Fleet.start(makeFleetPlan(experiment, policy));
  try {
    const disturbance = disturb(fleet, experiment, load);
    const answered = await sendArrivals(fleet, arrivals, experiment.seed);
    await disturbance;
    await sleep(DRAIN_MS);
    const measured = answered.filter(
      ({arrival}) => arrival.atMs >= experiment.warmUpMs,
    );
    const results = answered.map(item => item.result);
    const records = await fleet.allRecords();
    const good = measured.filter(isInTime).length;
    return {
      policy,
      load,
      offered: measured.length,
      goodput: good / Math.max(1, measured.length),
      tiers: experiment.tiers.map(({tier}) => tierFigures(tier, measured)),
      prefillRatio: await prefillRatio(fleet, answered),
      breaches: findExecutionBreaches(results, records),
      upperBound: upperBound(
        experiment,
        measured.map(item => item.arrival),
      ),
    };
  } finally {
    await fleet.close();
  }
}
