#!/usr/bin/env node
// Measures how a daemon's use of CPU, memory and network grows with the numbers
// of daemons, engines, accounts and chats, and the cost of a grant with the
// length of the queue.
import {sleep} from '@fescuespool/common';
import Table from 'cli-table3';
import {mkdirSync, writeFileSync} from 'node:fs';
import {measureCellCost} from './cell_cost.js';
import type {FleetPlan} from './fleet.js';
import {Fleet, waitUntil} from './fleet.js';
import {callJson} from './http_json.js';
import {makeFleetConfig} from './local_fleet_plan.js';
import {percentile} from './histogram.js';
import {smallFleetPlan} from './small_fleet_plan.js';
import {TrafficGenerator} from './traffic.js';
import {CONTROL_PATH} from '@fescuespool/stand-ins';

const SETTLE_MS = 5_000;
const MEASURE_MS = 8_000;
const FLEET_SIZES = [4, 16, 32, 64] as const;
const ENGINE_COUNTS = [2, 12, 24] as const;
const ACCOUNT_COUNTS = [100, 14_000] as const;
const CHAT_RATES = [0, 20, 60] as const;
const CONFIG_CHANGES = 8;
const WAITING_COUNTS = [10, 1_000, 100_000] as const;
const SEED = 5;
const BYTES_PER_MB = 1_048_576;
const MICROS_PER_MS = 1_000;

/** Resources that one daemon used over an interval; memory at its end. */
interface DaemonUsage {
  readonly cpuPercent: number;
  readonly rssMb: number;
  readonly sentPerSecond: number;
  readonly receivedPerSecond: number;
}

interface DaemonStats {
  readonly cpuMicros: number;
  readonly rssBytes: number;
  readonly peerBytes: {readonly sent: number; readonly received: number};
}

async function readStats(fleet: Fleet): Promise<DaemonStats[]> {
  const urls = [...fleet.daemons.values()].map(daemon => daemon.operatorUrl);
  const responses = await Promise.all(
    urls.map(url => callJson(`${url}/stats`, 'GET')),
  );
  return responses.map(response => response.body as DaemonStats);
}

async function countPlatformCalls(fleet: Fleet): Promise<number> {
  const url = fleet.platformUrl + CONTROL_PATH.STATS;
  const {body} = await callJson(url, 'GET');
  const {calls} = body as {calls: Record<string, number>};
  return Object.values(calls).reduce((sum, count) => sum + count, 0);
}

/** Measures the mean and the highest usage among the daemons of a fleet. */
async function measureUsage(
  fleet: Fleet,
  durationMs = MEASURE_MS,
): Promise<{
  mean: DaemonUsage;
  highest: DaemonUsage;
  platformCallsPerSecond: number;
}> {
  const statsBefore = await readStats(fleet);
  const callsBefore = await countPlatformCalls(fleet);
  const startedAt = performance.now();
  await sleep(durationMs);
  const statsAfter = await readStats(fleet);
  const seconds = (performance.now() - startedAt) / 1_000;
  const calls = (await countPlatformCalls(fleet)) - callsBefore;
  const usages = statsAfter.map((stats, index): DaemonUsage => {
    const previous = statsBefore[index]!;
    const cpuMs = (stats.cpuMicros - previous.cpuMicros) / MICROS_PER_MS;
    return {
      cpuPercent: cpuMs / seconds / 10,
      rssMb: stats.rssBytes / BYTES_PER_MB,
      sentPerSecond: (stats.peerBytes.sent - previous.peerBytes.sent) / seconds,
      receivedPerSecond:
        (stats.peerBytes.received - previous.peerBytes.received) / seconds,
    };
  });
  const aggregate = (combine: (values: number[]) => number): DaemonUsage => ({
    cpuPercent: combine(usages.map(usage => usage.cpuPercent)),
    rssMb: combine(usages.map(usage => usage.rssMb)),
    sentPerSecond: combine(usages.map(usage => usage.sentPerSecond)),
    receivedPerSecond: combine(usages.map(usage => usage.receivedPerSecond)),
  });
  return {
    mean: aggregate(
      values => values.reduce((a, b) => a + b, 0) / values.length,
    ),
    highest: aggregate(values => Math.max(...values)),
    platformCallsPerSecond: calls / seconds,
  };
}

/** Starts a fleet, waits SETTLE_MS, runs `use` and closes the fleet. */
async function withFleet<T>(
  plan: FleetPlan,
  use: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await Fleet.start({...plan, settings: {logLevel: 'warn'}});
  try {
    await sleep(SETTLE_MS);
    return await use(fleet);
  } finally {
    await fleet.close();
  }
}

const rows: Array<Record<string, string | number>> = [];

function addRow(
  subject: string,
  size: number,
  figures: Awaited<ReturnType<typeof measureUsage>>,
): void {
  const {mean, highest, platformCallsPerSecond} = figures;
  const row = {
    subject,
    size,
    'cpu % mean': mean.cpuPercent.toFixed(2),
    'cpu % highest': highest.cpuPercent.toFixed(2),
    'rss MB mean': mean.rssMb.toFixed(0),
    'rss MB highest': highest.rssMb.toFixed(0),
    'sent B/s mean': mean.sentPerSecond.toFixed(0),
    'received B/s mean': mean.receivedPerSecond.toFixed(0),
    'sent B/s highest': highest.sentPerSecond.toFixed(0),
    'platform calls/s': platformCallsPerSecond.toFixed(1),
  };
  rows.push(row);
  process.stdout.write(`${JSON.stringify(row)}\n`);
}

async function measureFleetSizes(): Promise<void> {
  for (const daemons of FLEET_SIZES) {
    const plan = smallFleetPlan({daemons, models: 1, applications: 1});
    addRow('daemons, idle', daemons, await withFleet(plan, measureUsage));
  }
}

async function measureEngines(): Promise<void> {
  for (const models of ENGINE_COUNTS) {
    const plan = smallFleetPlan({daemons: 4, models, applications: 0});
    addRow('engines, idle', models, await withFleet(plan, measureUsage));
  }
}

async function measureTraffic(): Promise<void> {
  for (const rate of CHAT_RATES) {
    const plan = smallFleetPlan({
      models: 6,
      applications: 1,
      daemons: 4,
      slots: 32,
    });
    const figures = await withFleet(plan, async fleet => {
      const traffic = new TrafficGenerator(fleet, {
        chatsPerSecond: rate,
        bookingsPerSecond: 0,
        seed: SEED,
        accounts: ['customs', 'tariffs'],
        maxTokens: 20,
        deadlineMs: 30_000,
      });
      const measured = await measureUsage(fleet);
      await traffic.stop();
      return measured;
    });
    addRow('chats a second, 4 daemons', rate, figures);
  }
}

async function measureAccounts(): Promise<void> {
  for (const count of ACCOUNT_COUNTS) {
    const accounts: Record<string, {tier: string; weight: number}> = {};
    for (let i = 0; i < count; i++) {
      accounts[`account-${i}`] = {tier: 'low', weight: 1};
    }
    const config = makeFleetConfig(accounts);
    const plan = smallFleetPlan({models: 1, overrides: {config}});
    await withFleet(plan, async fleet => {
      addRow('accounts, idle', count, await measureUsage(fleet));
      const times: number[] = [];
      for (let i = 0; i < CONFIG_CHANGES; i++) {
        times.push(await timeConfigChange(fleet, i + 1));
      }
      const highest = percentile(times, 100);
      process.stdout.write(
        `configuration change with ${count} accounts: in force on all daemons ` +
          `after ${percentile(times, 50)} ms (median), ${highest} ms (highest)\n`,
      );
      addRow('accounts, after changes', count, await measureUsage(fleet));
    });
  }
}

/**
 * Adds an account to the configuration; resolves with the milliseconds until
 * the change is in force on all daemons.
 */
async function timeConfigChange(
  fleet: Fleet,
  baseVersion: number,
): Promise<number> {
  const startedAt = performance.now();
  const account = {keyHashes: ['0'.repeat(63) + baseVersion], tier: 'low'};
  const patch = {clientAccounts: {[`added-${baseVersion}`]: account}};
  const url = `${fleet.daemon('entry-1').operatorUrl}/config/patch`;
  await callJson(url, 'POST', {baseVersion, patch});
  const ids = [...fleet.daemons.keys()];
  await waitUntil('the version is in force on every daemon', async () => {
    const versions = await Promise.all(
      ids.map(id => fleet.configVersionOf(id)),
    );
    return versions.every(version => version > baseVersion);
  });
  return performance.now() - startedAt;
}

async function measureQueueLengths(): Promise<void> {
  for (const waiting of WAITING_COUNTS) {
    const cost = await measureCellCost(waiting);
    process.stdout.write(
      `grant with ${waiting} waiting requests: ${cost.microsPerGrant.toFixed(1)} µs, ` +
        `deadline check ${cost.tickMs.toFixed(2)} ms, ` +
        `${cost.bytesPerWaiting.toFixed(0)} bytes per waiting request\n`,
    );
  }
}

const measurements: Readonly<Record<string, () => Promise<void>>> = {
  waiting: measureQueueLengths,
  daemons: measureFleetSizes,
  engines: measureEngines,
  traffic: measureTraffic,
  accounts: measureAccounts,
};
const selectedNames = process.argv.slice(2);
for (const [name, measureSubject] of Object.entries(measurements)) {
  if (selectedNames.length === 0 || selectedNames.includes(name))
    await measureSubject();
}
if (rows.length > 0) {
  const table = new Table({head: Object.keys(rows[0]!)});
  for (const row of rows) table.push(Object.values(row));
  process.stdout.write(`${table.toString()}\n`);
  mkdirSync('results', {recursive: true});
  writeFileSync('results/slopes.json', JSON.stringify(rows, null, 2));
}
