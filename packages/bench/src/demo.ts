#!/usr/bin/env node
import {sleep} from '@fescuespool/common';
import Table from 'cli-table3';
import {CALL_END} from './constants.js';
import type {Fleet as FleetType} from './fleet.js';
import {Fleet} from './fleet.js';
import {LOCAL_ACCOUNTS, localFleetPlan} from './local_fleet_plan.js';
import type {TrafficResult} from './traffic.js';
import {countEnds, TrafficGenerator} from './traffic.js';
import {
  findExecutionBreaches,
  findRepeatedExecutions,
} from './execution_checks.js';

const SEED = 20_261_204;
const DURATION_S = 16;
const KILL_AT_SECOND = 6;
const CHATS_PER_SECOND = 14;
const BOOKINGS_PER_SECOND = 4;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runTraffic(fleet: FleetType): Promise<TrafficResult> {
  const traffic = new TrafficGenerator(fleet, {
    chatsPerSecond: CHATS_PER_SECOND,
    bookingsPerSecond: BOOKINGS_PER_SECOND,
    seed: SEED,
    accounts: ['customs', 'tariffs', 'suppliers', 'archive'],
    maxTokens: 40,
    deadlineMs: 6_000,
  });
  for (let second = 1; second <= DURATION_S; second++) {
    await sleep(1_000);
    print(
      `${String(second).padStart(2)} s  ${traffic.sentCount} requests sent`,
    );
    if (second !== KILL_AT_SECOND) continue;
    const id = await fleet.dispatcherOf('assist', 'entry-1');
    if (id === null) continue;
    await fleet.daemon(id).process.kill();
    print(`      killed ${id}, the dispatcher of the model service`);
  }
  return traffic.stop();
}

/** Counts the correct chats and all chats of each tier. */
function countChatsByTier(
  result: TrafficResult,
): Map<string, [number, number]> {
  const tiers = new Map<string, [number, number]>();
  for (const [index, chat] of result.chats.entries()) {
    const account = result.accounts[index] as keyof typeof LOCAL_ACCOUNTS;
    const {tier} = LOCAL_ACCOUNTS[account];
    const [correct, total] = tiers.get(tier) ?? [0, 0];
    const isCorrect = chat.end === CALL_END.COMPLETE && chat.isCorrect;
    tiers.set(tier, [correct + (isCorrect ? 1 : 0), total + 1]);
  }
  return tiers;
}

/** Prints the figures and checks; returns whether no invariant was broken. */
async function printReport(
  fleet: FleetType,
  result: TrafficResult,
): Promise<boolean> {
  const goodput = new Table({head: ['tier', 'answered', 'sent', 'goodput']});
  for (const tier of ['critical', 'high', 'normal', 'low']) {
    const [correct, total] = countChatsByTier(result).get(tier) ?? [0, 0];
    goodput.push([
      tier,
      correct,
      total,
      (correct / Math.max(1, total)).toFixed(3),
    ]);
  }
  print(goodput.toString());
  const records = await fleet.allRecords();
  const chats = records.filter(record => record.call === 'chat');
  const wasted = chats
    .filter(record => record.end !== 'completed')
    .reduce((sum, record) => sum + record.computedTokens, 0);
  const computed = chats.reduce((sum, r) => sum + r.computedTokens, 0);
  print(
    `prefill: ${Math.round(computed)} tokens computed, ` +
      `${Math.round(wasted)} of them for runs that did not complete`,
  );
  const ends = Object.entries(countEnds(result.chats));
  print(`chats by end: ${ends.map(([end, n]) => `${end}=${n}`).join(' ')}`);
  const checks: ReadonlyArray<readonly [string, readonly string[]]> = [
    [
      'responses correct, executed at most once, "not run" is true',
      findExecutionBreaches(result.chats, records),
    ],
    [
      'bookings: executed at most once',
      findRepeatedExecutions(records, 'POST /bookings'),
    ],
    ['bookings: settled', findUnsettledBookings(result)],
  ];
  const table = new Table({head: ['invariant', 'breaches']});
  for (const [name, breaches] of checks) table.push([name, breaches.length]);
  print(table.toString());
  const breaches = checks.flatMap(([, found]) => found);
  for (const breach of breaches) print(`BREACH ${breach}`);
  return breaches.length === 0;
}

/** Finds bookings whose last response is neither a 200 nor a 409. */
function findUnsettledBookings(result: TrafficResult): string[] {
  return result.bookings
    .filter(({statuses}) => ![200, 409].includes(statuses.at(-1) ?? 0))
    .map(({key}) => `${key} was not settled by its last response`);
}

print('starting the platform, six upstreams and four daemons in three zones');
const fleet = await Fleet.start(localFleetPlan());
let hasNoBreach = false;
try {
  hasNoBreach = await printReport(fleet, await runTraffic(fleet));
} finally {
  await fleet.close();
}
process.exit(hasNoBreach ? 0 : 1);
