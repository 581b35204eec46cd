import {sha256Hex, sleep} from '@fescuespool/common';
import type {PlacementPolicyName} from '@fescuespool/coordination';
import type {Vm} from '@fescuespool/state';
import type {ExecutionRecord} from '@fescuespool/stand-ins';
import {CONTROL_PATH, STAND_IN_KIND} from '@fescuespool/stand-ins';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {FleetProcess} from './child_process.js';
import {FLEET_PORT, POLL_INTERVAL_MS, WAIT_TIMEOUT_MS} from './constants.js';
import {HarnessError} from './errors.js';
import {callJson} from './http_json.js';
import {LinkProxy} from './link_proxy.js';

const resolvePath = createRequire(import.meta.url).resolve;

function scriptOf(packageName: string): string {
  const entry = resolvePath(`@fescuespool/${packageName}`);
  return join(dirname(entry), 'main.js');
}

/** A model or application engine of the fleet. */
export interface UpstreamPlan {
  readonly id: string;
  readonly kind: 'model' | 'application';
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** Settings of the stand-in beyond its address. */
  readonly settings: Readonly<Record<string, number | boolean>>;
}

/** A daemon of the fleet. */
export interface DaemonPlan {
  readonly id: string;
  readonly zone: string;
}

/** What a fleet consists of. */
export interface FleetPlan {
  readonly daemons: readonly DaemonPlan[];
  readonly upstreams: readonly UpstreamPlan[];
  /** Configuration without its upstreams, which follow from the plan. */
  readonly config: Readonly<Record<string, unknown>>;
  readonly policy?: PlacementPolicyName;
  /** Puts a proxy before each peer listener, so that links can be cut. */
  readonly hasLinkProxies?: boolean;
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** A running daemon. */
export interface FleetDaemon {
  readonly plan: DaemonPlan;
  readonly address: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  process: FleetProcess;
}

/** A running upstream. */
export interface FleetUpstream {
  readonly plan: UpstreamPlan;
  readonly url: string;
  process: FleetProcess;
  /** Records of incarnations that have ended, as far as they were read. */
  readonly earlier: ExecutionRecord[];
}

/** Waits until a condition holds; throws after a generous time. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new HarnessError(`timed out: ${what}`);
}

/** Real daemons and stand-ins as processes on loopback addresses. */
export class Fleet {
  readonly daemons = new Map<string, FleetDaemon>();
  readonly upstreams = new Map<string, FleetUpstream>();
  private readonly proxies = new Map<string, LinkProxy>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'fescuespool-'));
  /** Each fleet has a network of its own inside 127.0.0.0/8. */
  private readonly network = `127.${rand(10, 250)}.${rand(1, 250)}`;
  private platformProcess: FleetProcess | null = null;

  private constructor(readonly plan: FleetPlan) {}

  /** Starts everything and waits until every daemon is ready. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    try {
      await fleet.startPlatform();
      await Promise.all(plan.upstreams.map(item => fleet.startUpstream(item)));
      await fleet.publishVms([]);
      await Promise.all(plan.daemons.map(item => fleet.startDaemon(item.id)));
      await fleet.putConfig();
      await fleet.waitUntilReady();
      return fleet;
    } catch (e) {
      await fleet.close();
      throw e;
    }
  }

  /** URL of the platform's stand-in. */
  get platformUrl(): string {
    return `http://${this.network}.1:${FLEET_PORT.PLATFORM}`;
  }

  /** A daemon by its identifier. */
  daemon(id: string): FleetDaemon {
    const found = this.daemons.get(id);
    if (!found) throw new HarnessError(`no daemon ${id}`);
    return found;
  }

  /** An upstream by its identifier. */
  upstream(id: string): FleetUpstream {
    const found = this.upstreams.get(id);
    if (!found) throw new HarnessError(`no upstream ${id}`);
    return found;
  }

  /** Starts a daemon, again after its death. */
  async startDaemon(id: string): Promise<FleetDaemon> {
    const index = this.plan.daemons.findIndex(plan => plan.id === id);
    const plan = this.plan.daemons[index];
    if (!plan) throw new HarnessError(`no daemon ${id}`);
    const address = this.addressOf(index);
    if (this.plan.hasLinkProxies && !this.proxies.has(id)) {
      const proxy = new LinkProxy(address, FLEET_PORT.PEER);
      await proxy.listen(address, FLEET_PORT.PROXY);
      this.proxies.set(id, proxy);
    }
    const file = join(this.folder, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(plan, address)));
    const args = ['--settings', file];
    const daemon = {
      plan,
      address,
      callerUrl: `http://${address}:${FLEET_PORT.CALLER}`,
      operatorUrl: `http://${address}:${FLEET_PORT.OPERATOR}`,
      process: await FleetProcess.start(scriptOf('daemon'), args),
    };
    this.daemons.set(id, daemon);
    return daemon;
  }

  /** Starts an upstream, again after its death. */
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
    const started = await FleetProcess.start(scriptOf('stand-ins'), args);
    const url = `http://${host}:${FLEET_PORT.UPSTREAM}`;
    const earlier = this.upstreams.get(plan.id)?.earlier ?? [];
    const upstream = {plan, url, process: started, earlier};
    this.upstreams.set(plan.id, upstream);
    return upstream;
  }

  /** Sets faults of an upstream or of the platform (id `platform`). */
  async setFaults(id: string, faults: object): Promise<void> {
    const url = id === 'platform' ? this.platformUrl : this.upstream(id).url;
    await callJson(url + CONTROL_PATH.FAULTS, 'POST', faults);
  }

  /** Publishes the VM list with some VMs leaving. */
  async publishVms(leaving: readonly string[]): Promise<void> {
    const state = (id: string): Vm['state'] =>
      leaving.includes(id) ? 'leaving' : 'live';
    const entries: Vm[] = this.plan.daemons.map(({id, zone}, index) => ({
      id,
      zone,
      role: 'entry',
      state: state(id),
      address: this.peerAddressOf(index),
    }));
    const upstreams: Vm[] = this.plan.upstreams.map(({id, zone}) => ({
      id,
      zone,
      role: 'upstream',
      state: state(id),
    }));
    const url = this.platformUrl + CONTROL_PATH.VMS;
    await callJson(url, 'POST', [...entries, ...upstreams]);
  }

  /** What an upstream executed, in all its incarnations that could be read. */
  async records(id: string): Promise<ExecutionRecord[]> {
    const upstream = this.upstream(id);
    if (!upstream.process.isRunning) return upstream.earlier;
    const url = upstream.url + CONTROL_PATH.RECORDS;
    const answer = await callJson(url, 'GET');
    return [...upstream.earlier, ...(answer.body as ExecutionRecord[])];
  }

  /** Executions of all upstreams. */
  async allRecords(): Promise<ExecutionRecord[]> {
    const ids = [...this.upstreams.keys()];
    const lists = await Promise.all(ids.map(id => this.records(id)));
    return lists.flat();
  }

  /** Kills an upstream; its records are read first. */
  async killUpstream(id: string): Promise<void> {
    const upstream = this.upstream(id);
    const records = await this.records(id);
    upstream.earlier.splice(0, upstream.earlier.length, ...records);
    await upstream.process.kill();
  }

  /** Cuts the link from one daemon to another, in this direction only. */
  blockLink(from: string, to: string): void {
    this.proxies.get(to)?.blockSource(this.daemon(from).address);
  }

  /** Restores the link from one daemon to another. */
  unblockLink(from: string, to: string): void {
    this.proxies.get(to)?.unblockSource(this.daemon(from).address);
  }

  /** Identifier of the daemon that dispatches a service. */
  async dispatcherOf(service: string, askedId: string): Promise<string | null> {
    const url = `${this.daemon(askedId).operatorUrl}/cells`;
    const {body} = await callJson(url, 'GET');
    const {cells} = body as {
      cells: Array<{service: string; dispatcher: string}>;
    };
    return cells.find(cell => cell.service === service)?.dispatcher ?? null;
  }

  /** Version in force on a daemon; 0 while it has none. */
  async configVersionOf(id: string): Promise<number> {
    const {body} = await callJson(`${this.daemon(id).callerUrl}/readyz`, 'GET');
    return (body as {configVersion: number}).configVersion;
  }

  /** Waits until every running daemon is ready and sees all the others. */
  async waitUntilReady(): Promise<void> {
    const running = [...this.daemons.values()].filter(
      daemon => daemon.process.isRunning,
    );
    await waitFor('daemons are ready', async () => {
      const ready = await Promise.all(
        running.map(async daemon => {
          const answer = await callJson(`${daemon.callerUrl}/readyz`, 'GET');
          const nodes = await callJson(`${daemon.operatorUrl}/nodes`, 'GET');
          const list = (nodes.body as {nodes: Array<{reachable: boolean}>})
            .nodes;
          const seen = list.filter(node => node.reachable).length;
          return answer.status === 200 && seen >= running.length;
        }),
      );
      return ready.every(Boolean);
    });
  }

  /** Ends every process of the fleet. */
  async close(): Promise<void> {
    const processes = [
      ...[...this.daemons.values()].map(daemon => daemon.process),
      ...[...this.upstreams.values()].map(upstream => upstream.process),
      ...(this.platformProcess ? [this.platformProcess] : []),
    ];
    await Promise.all(processes.map(item => item.kill()));
    for (const proxy of this.proxies.values()) proxy.close();
    rmSync(this.folder, {recursive: true, force: true});
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
      scriptOf('stand-ins'),
      args,
    );
  }

  private async putConfig(): Promise<void> {
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
    const answer = await callJson(url, 'POST', {baseVersion: 0, patch});
    if (answer.status === 200) return;
    throw new HarnessError(`configuration: ${JSON.stringify(answer.body)}`);
  }
}

/** Key of an account in the fleets of this package. */
export function accountKey(accountId: string): string {
  return `key-of-${accountId}`;
}

/** Hash of an account's key, as the configuration holds it. */
export function accountKeyHash(accountId: string): string {
  return sha256Hex(accountKey(accountId));
}

function rand(low: number, high: number): number {
  return low + Math.floor(Math.random() * (high - low));
}
