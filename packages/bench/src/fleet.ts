import {sha256Hex, sleep} from '@fescuespool/common';
import type {PlacementPolicyName} from '@fescuespool/coordination';
import type {Vm} from '@fescuespool/state';
import type {ExecutionRecord} from '@fescuespool/stand-ins';
import {CONTROL_PATH, STAND_IN_KIND} from '@fescuespool/stand-ins';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {FleetProcess} from './fleet_process.js';
import {FLEET_PORT, POLL_INTERVAL_MS, WAIT_TIMEOUT_MS} from './constants.js';
import {HarnessError} from './errors.js';
import {callJson} from './http_json.js';
import {LinkProxy} from './link_proxy.js';

const resolveModule = createRequire(import.meta.url).resolve;

function mainScriptOf(packageName: string): string {
  const entry = resolveModule(`@fescuespool/${packageName}`);
  return join(dirname(entry), 'main.js');
}

/** Specification of one stand-in upstream of a fleet. */
export interface UpstreamPlan {
  readonly id: string;
  readonly kind: 'model' | 'application';
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** Settings of the stand-in besides its address and slots. */
  readonly settings: Readonly<Record<string, number | boolean>>;
}

/** Specification of one daemon of a fleet. */
export interface DaemonPlan {
  readonly id: string;
  readonly zone: string;
}

/** Specification of a fleet: its daemons, upstreams and configuration. */
export interface FleetPlan {
  readonly daemons: readonly DaemonPlan[];
  readonly upstreams: readonly UpstreamPlan[];
  /** Configuration without `upstreams`, which is derived from the plan. */
  readonly config: Readonly<Record<string, unknown>>;
  readonly policy?: PlacementPolicyName;
  /** Puts a LinkProxy before each peer listener, so that blockLink works. */
  readonly hasLinkProxies?: boolean;
  /** Daemon settings that replace the generated ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** A daemon that the fleet has started; its process may have ended. */
export interface FleetDaemon {
  readonly plan: DaemonPlan;
  readonly address: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  process: FleetProcess;
}

/** An upstream that the fleet has started; its process may have ended. */
export interface FleetUpstream {
  readonly plan: UpstreamPlan;
  readonly url: string;
  process: FleetProcess;
  /** Execution records that were read from its earlier processes. */
  readonly earlierRecords: ExecutionRecord[];
}

/** Polls a condition until it holds. Throws HarnessError on timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new HarnessError(`timed out waiting for: ${description}`);
}

/** Runs daemons and stand-ins as child processes on loopback addresses. */
export class Fleet {
  readonly daemons = new Map<string, FleetDaemon>();
  readonly upstreams = new Map<string, FleetUpstream>();
  private readonly proxies = new Map<string, LinkProxy>();
  private readonly tempFolder = mkdtempSync(join(tmpdir(), 'fescuespool-'));
  /** Random /24 network in 127.0.0.0/8, so that fleets can run side by side. */
  private readonly network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
  private platformProcess: FleetProcess | null = null;

  private constructor(readonly plan: FleetPlan) {}

  /**
   * Starts every process, applies the configuration and waits until every
   * daemon is ready. If a step fails, ends what has started and rethrows.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    try {
      await fleet.startPlatform();
      await Promise.all(plan.upstreams.map(item => fleet.startUpstream(item)));
      await fleet.publishVms([]);
      await Promise.all(plan.daemons.map(item => fleet.startDaemon(item.id)));
      await fleet.applyConfig();
      await fleet.waitUntilReady();
      return fleet;
    } catch (e) {
      await fleet.close();
      throw e;
    }
  }

  /** URL of the platform stand-in. */
  get platformUrl(): string {
    return `http://${this.network}.1:${FLEET_PORT.PLATFORM}`;
  }

  /** Returns a started daemon. Throws HarnessError if there is none. */
  daemon(id: string): FleetDaemon {
    const daemon = this.daemons.get(id);
    if (!daemon) throw new HarnessError(`daemon ${id} was not started`);
    return daemon;
  }

  /** Returns a started upstream. Throws HarnessError if there is none. */
  upstream(id: string): FleetUpstream {
    const upstream = this.upstreams.get(id);
    if (!upstream) throw new HarnessError(`upstream ${id} was not started`);
    return upstream;
  }

  /** Starts a daemon of the plan, or restarts it once its process has ended. */
  async startDaemon(id: string): Promise<FleetDaemon> {
    const index = this.plan.daemons.findIndex(plan => plan.id === id);
    const plan = this.plan.daemons[index];
    if (!plan) throw new HarnessError(`the plan has no daemon ${id}`);
    const address = this.addressOf(index);
    if (this.plan.hasLinkProxies && !this.proxies.has(id)) {
      const proxy = new LinkProxy(address, FLEET_PORT.PEER);
      await proxy.listen(address, FLEET_PORT.PROXY);
      this.proxies.set(id, proxy);
    }
    const settingsFile = join(this.tempFolder, `${id}.json`);
    writeFileSync(settingsFile, JSON.stringify(this.settingsOf(plan, address)));
    const args = ['--settings', settingsFile];
    const daemon = {
      plan,
      address,
      callerUrl: `http://${address}:${FLEET_PORT.CALLER}`,
      operatorUrl: `http://${address}:${FLEET_PORT.OPERATOR}`,
      process: await FleetProcess.start(mainScriptOf('daemon'), args),
    };
    this.daemons.set(id, daemon);
    return daemon;
  }

  /** Starts an upstream, or restarts it once its process has ended. */
  async startUpstream(plan: UpstreamPlan): Promise<FleetUpstream> {
    const index = this.plan.upstreams.indexOf(plan);
    const host = `${this.network}.${100 + index}`;
    const {settings} = plan;
    const args = [
      plan.kind,
      JSON.stringify({
        host,
        port: FLEET_PORT.UPSTREAM,
        ...(plan.kind === STAND_IN_KIND.MODEL ? {slots: plan.slots} : {}),
        ...settings,
      }),
    ];
    const started = await FleetProcess.start(mainScriptOf('stand-ins'), args);
    const url = `http://${host}:${FLEET_PORT.UPSTREAM}`;
    const earlierRecords = this.upstreams.get(plan.id)?.earlierRecords ?? [];
    const upstream = {plan, url, process: started, earlierRecords};
    this.upstreams.set(plan.id, upstream);
    return upstream;
  }

  /** Sets the faults of an upstream, or of the platform (id `platform`). */
  async setFaults(id: string, faults: object): Promise<void> {
    const url = id === 'platform' ? this.platformUrl : this.upstream(id).url;
    await callJson(url + CONTROL_PATH.FAULTS, 'POST', faults);
  }

  /** Sets the platform's VM list; VMs in `leaving` are marked as leaving. */
  async publishVms(leaving: readonly string[]): Promise<void> {
    const stateOf = (id: string): Vm['state'] =>
      leaving.includes(id) ? 'leaving' : 'live';
    const entryVms: Vm[] = this.plan.daemons.map(({id, zone}, index) => ({
      id,
      zone,
      role: 'entry',
      state: stateOf(id),
      address: this.peerAddressOf(index),
    }));
    const upstreamVms: Vm[] = this.plan.upstreams.map(({id, zone}) => ({
      id,
      zone,
      role: 'upstream',
      state: stateOf(id),
    }));
    const url = this.platformUrl + CONTROL_PATH.VMS;
    await callJson(url, 'POST', [...entryVms, ...upstreamVms]);
  }

  /**
   * Returns the execution records of an upstream across its restarts. Those of
   * a process that ended without killUpstream are missing.
   */
  async records(id: string): Promise<ExecutionRecord[]> {
    const upstream = this.upstream(id);
    if (!upstream.process.isRunning) return upstream.earlierRecords;
    const url = upstream.url + CONTROL_PATH.RECORDS;
    const response = await callJson(url, 'GET');
    return [
      ...upstream.earlierRecords,
      ...(response.body as ExecutionRecord[]),
    ];
  }

  /** Returns the execution records of all upstreams. */
  async allRecords(): Promise<ExecutionRecord[]> {
    const ids = [...this.upstreams.keys()];
    const recordLists = await Promise.all(ids.map(id => this.records(id)));
    return recordLists.flat();
  }

  /** Reads an upstream's execution records, then kills its process. */
  async killUpstream(id: string): Promise<void> {
    const upstream = this.upstream(id);
    const records = await this.records(id);
    upstream.earlierRecords.splice(
      0,
      upstream.earlierRecords.length,
      ...records,
    );
    await upstream.process.kill();
  }

  /**
   * Blocks the connections that one daemon opened to another, but not those
   * opened the other way. Does nothing if the plan has no link proxies.
   */
  blockLink(from: string, to: string): void {
    this.proxies.get(to)?.blockSource(this.daemon(from).address);
  }

  /** Unblocks a link; the connections that were blocked are reset. */
  unblockLink(from: string, to: string): void {
    this.proxies.get(to)?.unblockSource(this.daemon(from).address);
  }

  /** Returns the dispatcher of a service as one daemon reports it, or null. */
  async dispatcherOf(
    service: string,
    daemonId: string,
  ): Promise<string | null> {
    const url = `${this.daemon(daemonId).operatorUrl}/cells`;
    const {body} = await callJson(url, 'GET');
    const {cells} = body as {
      cells: Array<{service: string; dispatcher: string}>;
    };
    return cells.find(cell => cell.service === service)?.dispatcher ?? null;
  }

  /** Returns the configuration version in force on a daemon, 0 if none. */
  async configVersionOf(id: string): Promise<number> {
    const {body} = await callJson(`${this.daemon(id).callerUrl}/readyz`, 'GET');
    return (body as {configVersion: number}).configVersion;
  }

  /** Waits until every running daemon is ready and reaches all the others. */
  async waitUntilReady(): Promise<void> {
    const running = [...this.daemons.values()].filter(
      daemon => daemon.process.isRunning,
    );
    await waitUntil('daemons are ready', async () => {
      const readiness = await Promise.all(
        running.map(async daemon => {
          const ready = await callJson(`${daemon.callerUrl}/readyz`, 'GET');
          const nodes = await callJson(`${daemon.operatorUrl}/nodes`, 'GET');
          const list = (nodes.body as {nodes: Array<{reachable: boolean}>})
            .nodes;
          const reached = list.filter(node => node.reachable).length;
          return ready.status === 200 && reached >= running.length;
        }),
      );
      return readiness.every(Boolean);
    });
  }

  /** Kills every process, closes the proxies and deletes the settings files. */
  async close(): Promise<void> {
    const processes = [
      ...[...this.daemons.values()].map(daemon => daemon.process),
      ...[...this.upstreams.values()].map(upstream => upstream.process),
      ...(this.platformProcess ? [this.platformProcess] : []),
    ];
    await Promise.all(processes.map(item => item.kill()));
    for (const proxy of this.proxies.values()) proxy.close();
    rmSync(this.tempFolder, {recursive: true, force: true});
  }

  private addressOf(index: number): string {
    return `${this.network}.${2 + index}`;
  }

  private peerAddressOf(index: number): string {
    const port = this.plan.hasLinkProxies ? FLEET_PORT.PROXY : FLEET_PORT.PEER;
    return `${this.addressOf(index)}:${port}`;
  }

  private settingsOf(plan: DaemonPlan, address: string): object {
    const index = this.plan.daemons.indexOf(plan);
    const first = this.plan.daemons[0];
    const seeds =
      first && first !== plan
        ? [{id: first.id, zone: first.zone, address: this.peerAddressOf(0)}]
        : [];
    return {
      memberId: plan.id,
      zone: plan.zone,
      bindAddress: address,
      caller: {host: address, port: FLEET_PORT.CALLER},
      operator: {host: address, port: FLEET_PORT.OPERATOR},
      peer: {
        host: address,
        port: FLEET_PORT.PEER,
        advertise: this.peerAddressOf(index),
      },
      platform: {url: this.platformUrl},
      seeds,
      shutdown: {balancerGraceMs: 300, limitMs: 60_000},
      ...(this.plan.policy ? {placementPolicy: this.plan.policy} : {}),
      ...this.plan.settings,
    };
  }

  private async startPlatform(): Promise<void> {
    const host = `${this.network}.1`;
    const settings = JSON.stringify({host, port: FLEET_PORT.PLATFORM});
    const args = [STAND_IN_KIND.PLATFORM, settings];
    this.platformProcess = await FleetProcess.start(
      mainScriptOf('stand-ins'),
      args,
    );
  }

  private async applyConfig(): Promise<void> {
    const upstreams: Record<string, object> = {};
    for (const plan of this.plan.upstreams) {
      const {cacheTokens, prefillTokensPerSecond, decodeTokensPerSecond} =
        plan.settings;
      const isModel = plan.kind === STAND_IN_KIND.MODEL;
      upstreams[plan.id] = {
        service: plan.service,
        zone: plan.zone,
        vm: plan.id,
        url: this.upstream(plan.id).url,
        slots: plan.slots,
        ...(isModel
          ? {cacheTokens, prefillTokensPerSecond, decodeTokensPerSecond}
          : {}),
      };
    }
    const patch = {...this.plan.config, upstreams};
    const [first] = this.daemons.values();
    const url = `${first?.operatorUrl}/config/patch`;
    const response = await callJson(url, 'POST', {baseVersion: 0, patch});
    if (response.status === 200) return;
    throw new HarnessError(
      `the configuration was rejected: ${JSON.stringify(response.body)}`,
    );
  }
}

/** Returns the API key of a client account in the fleets of this package. */
export function accountKey(accountId: string): string {
  return `key-of-${accountId}`;
}

/** Returns the hash of a client account's API key for the configuration. */
export function accountKeyHash(accountId: string): string {
  return sha256Hex(accountKey(accountId));
}

/** Random integer from `low` up to, but not including, `high`. */
function randomInt(low: number, high: number): number {
  return low + Math.floor(Math.random() * (high - low));
}
