import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import {
  POISON_DEATH_THRESHOLD,
  PoisonRegistry,
} from '@fescuespool/coordination';
import {QuotaLedger} from '@fescuespool/scheduling';
import {PeerNetwork, UpstreamAgent} from '@fescuespool/transport';
import http from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import {listenOn, splitAddress} from './address.js';
import {CallerServer} from './caller_server.js';
import type {BootClock} from './config_state.js';
import {ConfigState} from './config_state.js';
import {
  MAX_STARTUP_WAIT_MS,
  CONFIG_AGE_MARGIN_MS,
  GATEWAY_METHOD,
  DEREGISTRATION_DELAY_MS,
  MAX_HEADER_BYTES,
  STOP_MARGIN_MS,
  UPSTREAM_IDLE_TIMEOUT_MS,
  MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
  USAGE_HUB_KEY,
} from './constants.js';
import {DispatchClient} from './dispatch_client.js';
import type {UpstreamsByService} from './dispatcher.js';
import {Dispatcher} from './dispatcher.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {createGatewayMetrics} from './gateway_metrics.js';
import {GatewayPeers} from './gateway_peers.js';
import {MemberDirectory} from './member_directory.js';
import {createPeerHandlers} from './peer_handlers.js';
import {PeerMonitor} from './peer_monitor.js';
import type {GatewaySettings} from './settings.js';
import {createMetricsServer, createReadinessServer} from './status_servers.js';
import type {GatewayConfig, GatewayMember, WireFormat} from './types.js';
import {UpstreamRegistry} from './upstream_registry.js';
import {UsageExchange} from './usage_exchange.js';

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Settings that are bound to sockets and names. */
const BOUND_SETTINGS = [
  'memberId',
  'zone',
  'callerAddress',
  'readyAddress',
  'readyPath',
  'peerAddress',
  'metricsPort',
  'logLevel',
] as const;

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly bootClock: BootClock;
  readonly log: Logger;
  readonly wire: WireFormat;
}

/**
 * An entry for opaque requests: it routes them by host and path, and shares one
 * queue for each service with the other gateways. Configuration, upstreams and
 * members are handed in by whoever watches them.
 */
export class Gateway {
  readonly config: ConfigState;
  readonly members: MemberDirectory;
  readonly peers: GatewayPeers;
  private readonly metrics: GatewayMetrics = createGatewayMetrics();
  private readonly network: PeerNetwork;
  private readonly monitor: PeerMonitor;
  private readonly dispatcher: Dispatcher;
  private readonly context: GatewayContext;
  private readonly usage: UsageExchange;
  private readonly callers: CallerServer;
  private readonly callerServer: http.Server;
  private readonly readyServer: http.Server;
  private readonly metricsServer: http.Server;
  private readonly upstreams = new UpstreamRegistry();
  private readonly configuredWaits = new Set<() => void>();
  private isStopping = false;

  constructor(private readonly options: GatewayOptions) {
    const {settings, clock, bootClock: bootMs, log, wire} = options;
    const peer = splitAddress(settings.peerAddress);
    this.config = new ConfigState(bootMs, log);
    this.network = new PeerNetwork(peer);
    this.members = new MemberDirectory({
      id: settings.memberId,
      zone: settings.zone,
      address: settings.peerAddress,
      isLeaving: false,
    });
    const {members, network} = this;
    this.peers = new GatewayPeers(members, network);
    this.monitor = new PeerMonitor(clock, log, members, network);
    this.dispatcher = new Dispatcher(clock, log, settings.retryBudget, key =>
      members.isOwnerOf(key),
    );
    const dispatch = new DispatchClient(
      clock,
      log,
      members,
      network,
      this.monitor,
      this.dispatcher,
    );
    members.onChange(() => this.dispatcher.handOverQueues());
    members.onSuspect(id => this.dispatcher.handleMemberLost(id));
    const quotas = new QuotaLedger(settings.quotaTolerance);
    this.usage = new UsageExchange(
      clock,
      log,
      members,
      network,
      this.monitor,
      quotas,
    );
    this.context = {
      settings,
      clock,
      log,
      wire,
      config: this.config,
      members,
      dispatch,
      quotas,
      crashes: new PoisonRegistry(clock, (fingerprint, deaths) => {
        if (deaths < POISON_DEATH_THRESHOLD) return;
        log.warn('crash_suspected', {fingerprint, deaths});
      }),
      agent: new UpstreamAgent(
        UPSTREAM_IDLE_TIMEOUT_MS,
        MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
      ),
      upstreams: this.upstreams,
      whenConfigured: () => this.whenConfigured(),
      random: Math.random,
      metrics: this.metrics,
      announceDeath: (fingerprint, instanceId) =>
        this.announceDeath(fingerprint, instanceId),
    };
    this.callers = new CallerServer(this.context);
    this.callerServer = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      },
      (req, res) => void this.callers.serve(req, res),
    );
    this.readyServer = createReadinessServer(
      settings.readyPath,
      () => this.isReady,
      isReady => this.logReadiness(isReady),
    );
    this.metricsServer = createMetricsServer(this.metrics, () =>
      this.setGauges(),
    );
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    const {settings, log} = this.options;
    const handlers = createPeerHandlers({
      dispatcher: this.dispatcher,
      usage: this.usage,
      crashes: this.context.crashes,
      whenConfigured: () => this.whenConfigured(),
    });
    await this.network.listen({...this.peers.handlers, ...handlers});
    await listenOn(this.callerServer, settings.callerAddress);
    await listenOn(this.readyServer, settings.readyAddress);
    const {metricsPort} = settings;
    if (metricsPort !== undefined) {
      const {host} = splitAddress(settings.readyAddress);
      await listenOn(this.metricsServer, `${host}:${metricsPort}`);
    }
    log.info('gateway_started', {
      member: settings.memberId,
      zone: settings.zone,
    });
  }

  /** Takes a configuration over where it is newer. */
  applyConfig(cfg: GatewayConfig): void {
    this.config.apply(cfg);
    const now = this.options.clock.monotonicMs();
    for (const {name, quota} of cfg.accountsByKey.values()) {
      if (quota) this.context.quotas.openBucket(name, quota, now);
    }
    this.tellConfigured();
    this.callerServer.keepAliveTimeout = cfg.limits.idleTimeoutMs;
    this.callerServer.headersTimeout = cfg.limits.headTimeoutMs;
  }

  /** Replaces the upstreams of all services. */
  setUpstreams(upstreams: UpstreamsByService): void {
    this.upstreams.replace(upstreams);
    this.dispatcher.setUpstreams(upstreams);
    this.tellConfigured();
  }

  /** Replaces the list of the other gateways. */
  setMembers(members: readonly GatewayMember[]): void {
    this.members.setMembers(members);
    this.context.quotas.setMemberCount(this.members.all.length);
  }

  /** Uses other settings; what is bound to a socket stays until a restart. */
  reload(settings: GatewaySettings): void {
    const before = this.context.settings;
    if (isDeepStrictEqual(before, settings)) return;
    this.context.settings = settings;
    this.dispatcher.setRetryBudget(settings.retryBudget);
    this.context.quotas.setTolerance(settings.quotaTolerance);
    const needsRestart = BOUND_SETTINGS.filter(
      name => before[name] !== settings[name],
    );
    this.options.log.info('settings_reloaded', {
      needsRestart: needsRestart.join(',') || undefined,
    });
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    const {maxConfigAgeMs} = this.context.settings;
    const maxAgeMs = (maxConfigAgeMs ?? Infinity) - CONFIG_AGE_MARGIN_MS;
    return (
      !this.isStopping &&
      this.config.current !== null &&
      !this.upstreams.isEmpty &&
      this.config.ageMs < maxAgeMs
    );
  }

  /**
   * Stops without cutting a request off: callers are sent elsewhere, queues are
   * handed over, and open requests end, as far as the time allows.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {log, clock} = this.options;
    const {settings} = this.context;
    const startMs = clock.monotonicMs();
    const endsAtMs = startMs + settings.stopGraceMs - STOP_MARGIN_MS;
    log.info('gateway_stopping', {open: this.callers.openRequestCount});
    this.callers.isDraining = true;
    this.members.leave();
    await sleep(DEREGISTRATION_DELAY_MS);
    this.callers.refuseNewRequests();
    this.callerServer.close();
    this.callerServer.closeIdleConnections();
    const limitMs = Math.max(0, endsAtMs - clock.monotonicMs());
    await Promise.race([this.callers.whenIdle(), sleep(limitMs)]);
    log.info('gateway_stopped', {cut: this.callers.openRequestCount});
  }

  /** Closes everything at once. */
  close(): void {
    this.monitor.close();
    this.usage.close();
    this.context.dispatch.close();
    this.dispatcher.close();
    this.network.close();
    for (const server of [
      this.callerServer,
      this.readyServer,
      this.metricsServer,
    ]) {
      server.close();
      server.closeAllConnections();
    }
    this.context.agent.destroy();
  }

  private get isConfigured(): boolean {
    return this.config.current !== null && !this.upstreams.isEmpty;
  }

  private async whenConfigured(): Promise<void> {
    if (this.isConfigured) return;
    let tell: () => void = () => undefined;
    const configured = new Promise<void>(resolve => {
      tell = resolve;
      this.configuredWaits.add(tell);
    });
    await Promise.race([configured, sleep(MAX_STARTUP_WAIT_MS)]);
    this.configuredWaits.delete(tell);
  }

  private tellConfigured(): void {
    if (!this.isConfigured) return;
    for (const tell of this.configuredWaits) tell();
    this.configuredWaits.clear();
  }

  /** Counts a death and tells the others, wherever the caller comes again. */
  private announceDeath(fingerprint: string, instanceId: string): void {
    this.context.crashes.recordDeath(fingerprint, instanceId);
    const params = {fingerprint, instanceId};
    for (const member of this.members.others) {
      this.network.notify(member, GATEWAY_METHOD.DEATH, params);
    }
  }

  private logReadiness(isReady: boolean): void {
    this.options.log.info('readiness_changed', {
      isReady,
      isStopping: this.isStopping,
      hasUpstreams: !this.upstreams.isEmpty,
      configVersion: this.config.current?.version,
      configAgeMs: Math.round(this.config.ageMs),
    });
  }

  private setGauges(): void {
    const {setGauge: gauge} = this.metrics;
    for (const {service, waiting, running} of this.dispatcher.queueStats()) {
      gauge('queue_waiting', service, waiting);
      gauge('queue_running', service, running);
    }
    gauge('config_version', '', this.config.current?.version ?? 0);
    gauge('members_suspected', '', this.members.suspected.length);
    gauge('usage_hub', '', this.members.isOwnerOf(USAGE_HUB_KEY) ? 1 : 0);
  }
}
