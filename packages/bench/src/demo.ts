#!/usr/bin/env node
import {sleep} from '@fescuespool/common';
import Table from 'cli-table3';
import {CALL_END} from './constants.js';
import type {Fleet as FleetType} from './fleet.js';
import {Fleet} from './fleet.js';
import {LOCAL_ACCOUNTS, localFleetPlan} from './local_plan.js';
import type {TrafficResult} from './traffic.js';
import {countEnds, TrafficGenerator} from './traffic.js';
import {findExecutionBreaches, findRepeatedExecutions} from './witness.js';

const SEED = 20_261_204;
const SECONDS = 16;
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
  for (let second = 1; second <= SECONDS; second++) {
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

function goodputByTier(result: TrafficResult): Map<string, [number, number]> {
  const tiers = new Map<string, [number, number]>();
  for (const [index, chat] of result.chats.entries()) {
    const account = result.accounts[index] as keyof typeof LOCAL_ACCOUNTS;
    const {tier} = LOCAL_ACCOUNTS[account];
    const [good, all] = tiers.get(tier) ?? [0, 0];
    const isGood = chat.end === CALL_END.COMPLETE && chat.isRight;
    tiers.set(tier, [good + (isGood ? 1 : 0), all + 1]);
  }
  return tiers;
}

async function report(
  fleet: FleetType,
  result: TrafficResult,
): Promise<boolean> {
  const goodput = new Table({head: ['tier', 'answered', 'sent', 'goodput']});
  for (const tier of ['critical', 'high', 'normal', 'low']) {
    const [good, all] = goodputByTier(result).get(tier) ?? [0, 0];
    goodput.push([tier, good, all, (good / Math.max(1, all)).toFixed(3)]);
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
  print(`ends: ${ends.map(([end, n]) => `${end}=${n}`).join(' ')}`);
  const checks: ReadonlyArray<readonly [string, readonly string[]]> = [
    [
      'at most once, "not run" true',
      findExecutionBreaches(result.chats, records),
    ],
    ['bookings once', findRepeatedExecutions(records, 'POST /bookings')],
    ['bookings settled', findOpenBookings(result)],
  ];
  const table = new Table({head: ['invariant', 'breaches']});
  for (const [name, breaches] of checks) table.push([name, breaches.length]);
  print(table.toString());
  const breaches = checks.flatMap(([, found]) => found);
  for (const breach of breaches) print(`BREACH ${breach}`);
  return breaches.length === 0;
}

/** Bookings whose callers never learned what became of them. */
function findOpenBookings(result: TrafficResult): string[] {
  return result.bookings
    .filter(({statuses}) => ![200, 409].includes(statuses.at(-1) ?? 0))
    .map(({key}) => `${key} was not settled`);
}

print('starting the platform, six upstreams in three zones, four daemons');
const fleet = await Fleet.start(localFleetPlan());
let isGood = false;
try {
  isGood = await report(fleet, await runTraffic(fleet));
} finally {
  await fleet.close();
}
process.exit(isGood ? 0 : 1);
