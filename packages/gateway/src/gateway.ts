import {QuotaLedger, UpstreamLimits} from '@fescuespool/scheduling';
import {PeerNetwork} from '@fescuespool/transport';
import type http from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import {listenOn, splitAddress} from './address.js';
import {CallerServer} from './caller_server.js';
import {ConfigState} from './config_state.js';
import {CONFIG_AGE_MARGIN_MS, MAX_HEADER_BYTES} from './constants.js';
import {ConfirmedConnections} from './confirmed_connections.js';
import {CrashGuard} from './crash_guard.js';
import {DispatchClient} from './dispatch_client.js';
import type {UpstreamsByService} from './dispatcher.js';
import {Dispatcher} from './dispatcher.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {GatewayOptions} from './gateway_options.js';
import {createGatewayMetrics} from './gateway_metrics.js';
import {GatewayPeers} from './gateway_peers.js';
import {stopGracefully} from './graceful_stop.js';
import {
  createGuardedServer,
  createGuards,
  guardTunnels,
} from './guarded_server.js';
import {IdleConnections} from './idle_connections.js';
import {LimitObserver} from './limit_observer.js';
import {createLocalMember} from './local_member.js';
import {MemberDirectory} from './member_directory.js';
import {OriginHistory} from './origin_history.js';
import {NeighbourNotices} from './neighbour_notices.js';
import {createOperatorServer} from './operator_server.js';
import {createPeerHandlers} from './peer_handlers.js';
import {PeerMonitor} from './peer_monitor.js';
import type {GatewaySettings} from './settings.js';
import {callerBudgetBytes, settingsToRestartFor} from './settings.js';
import {CallerBudget} from './caller_budget.js';
import {StartupGate} from './startup_gate.js';
import {createReadinessServer} from './status_servers.js';
import {StopGate} from './stop_gate.js';
import {RunTimes} from './stop_policy.js';
import {StreamArchive} from './stream_archive.js';
import type {Rollouts} from './rollouts.js';
import {createRollouts} from './rollouts.js';
import {RetryLoans} from './retry_loans.js';
import {RouteHistory} from './route_history.js';
import type {OriginRecord, VersionsByService} from './stream_origin.js';
import {StreamOriginDirectory} from './stream_origin_directory.js';
import type {GatewayConfig, GatewayMember} from './types.js';
import {UpstreamPaths} from './upstream_paths.js';
import {UpstreamRegistry} from './upstream_registry.js';
import {UpstreamStatements} from './upstream_statements.js';
import {UsageExchange} from './usage_exchange.js';

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * An entry point for requests with opaque bodies: routes them by host and path,
 * and shares one queue per service with the other gateways. The platform
 * adapter supplies the configuration, upstreams and members, and updates them.
 */
export class Gateway {
  readonly configState: ConfigState;
  readonly members: MemberDirectory;
  readonly peers: GatewayPeers;
  /** Where streams can have begun that may still be resumed. */
  readonly originHistory: OriginHistory;
  /** Roll-outs of software versions. */
  readonly rollouts: Rollouts;
  private readonly metrics: GatewayMetrics = createGatewayMetrics();
  private readonly network: PeerNetwork;
  private readonly monitor: PeerMonitor;
  private readonly dispatcher: Dispatcher;
  private readonly context: GatewayContext;
  private readonly usageExchange: UsageExchange;
  private readonly callerServer: CallerServer;
  private readonly callerHttpServer: http.Server;
  private readonly idleConnections: IdleConnections;
  private readonly readyServer: http.Server;
  private readonly metricsServer: http.Server;
  private readonly upstreams = new UpstreamRegistry();
  private readonly upstreamLimits = new UpstreamLimits();
  /** Whether the upstreams are known. */
  private hasUpstreamList = false;
  private readonly startupGate = new StartupGate(
    () => this.configState.current !== null && this.hasUpstreamList,
  );
  private isStopping = false;

  constructor(private readonly options: GatewayOptions) {
    const {settings, clock, bootClock, log, wireFormat, connect} = options;
    const peer = splitAddress(settings.peerAddress);
    this.configState = new ConfigState(bootClock, log);
    this.network = new PeerNetwork(peer);
    this.members = new MemberDirectory(createLocalMember(settings));
    const {members, network} = this;
    this.originHistory = new OriginHistory(
      this.upstreams.versions,
      new RouteHistory(),
      clock.monotonicMs,
      () => members.allGoByOriginRecord,
    );
    this.peers = new GatewayPeers(members, network);
    this.monitor = new PeerMonitor(clock, log, members, network);
    this.rollouts = createRollouts(options, members, this.upstreams);
    this.dispatcher = new Dispatcher(
      clock,
      log,
      settings.retryBudget,
      this.upstreamLimits,
      key => members.isOwnerOf(key),
      members.queueMembers,
      service => this.rollouts.gateOf(service),
    );
    const dispatchClient = new DispatchClient(
      clock,
      log,
      members,
      network,
      this.monitor,
      this.dispatcher,
      this.upstreamLimits,
      this.upstreams,
      new RetryLoans(() => this.context.settings.retryBudget.windowMs),
    );
    members.onChange(() => this.dispatcher.handOverQueues());
    members.onSuspected(id => this.dispatcher.handleMemberSuspected(id));
    const quotaLedger = new QuotaLedger(settings.quotaTolerance);
    this.usageExchange = new UsageExchange(
      clock,
      log,
      members,
      network,
      this.monitor,
      [quotaLedger, this.dispatcher.rateLimiter.ledger],
      this.configState,
    );
    const streamArchive = new StreamArchive(
      clock,
      log,
      options.streamStore,
      () => members.allMembers.length,
      (origin, route) => this.originHistory.implies(origin, route),
    );
    const upstreamPaths = new UpstreamPaths({
      clock,
      log,
      members,
      connect,
      random: Math.random,
      addresses: () => this.upstreams.addresses,
      isDeclined: address => this.context.upstreamStatements.declines(address),
      isStopping: () => this.isStopping,
    });
    const runTimes = new RunTimes();
    this.context = {
      settings,
      clock,
      log,
      wireFormat,
      configState: this.configState,
      members,
      dispatchClient,
      quotaLedger,
      originHistory: this.originHistory,
      crashGuard: new CrashGuard(clock, log, members, network, Math.random),
      streamArchive,
      streamOrigins: new StreamOriginDirectory(
        log,
        members,
        network,
        streamArchive,
      ),
      limitObserver: new LimitObserver(
        clock,
        log,
        settings.memberId,
        this.upstreamLimits,
        instanceId => dispatchClient.reportNow(instanceId),
      ),
      upstreamPaths,
      confirmedConnections: new ConfirmedConnections(),
      upstreams: this.upstreams,
      rollouts: this.rollouts,
      upstreamStatements: new UpstreamStatements({
        clock,
        log,
        memberId: settings.memberId,
        upstreams: this.upstreams,
        pauses: this.dispatcher.pauses,
        paths: upstreamPaths,
        neighbours: new NeighbourNotices(clock, log, members, network),
        onLeaving: instanceId => {
          this.dispatcher.setUpstreams(this.upstreams.byService);
          dispatchClient.reportNow(instanceId);
        },
        onPause: instanceId => dispatchClient.reportNow(instanceId),
      }),
      whenConfigured: () => this.startupGate.whenOpen(),
      callerBudget: new CallerBudget(
        callerBudgetBytes(settings),
        clock,
        log,
        this.metrics,
      ),
      runTimes,
      stopGate: new StopGate(clock, log, runTimes),
      random: Math.random,
      metrics: this.metrics,
    };
    this.callerServer = new CallerServer(this.context);
    const {heads} = this.context.callerBudget;
    const guardOf = createGuards(settings, heads, log, this.metrics);
    guardTunnels(upstreamPaths.tunnels.server, guardOf('tunnels'));
    this.callerHttpServer = createGuardedServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      },
      guardOf('callers'),
      (req, res, waitedMs, hasRoom) => {
        this.idleConnections.handleRequest(req, res);
        void this.callerServer.serve(req, res, waitedMs, hasRoom);
      },
      this.callerServer,
    );
    const {callerHttpServer} = this;
    this.idleConnections = new IdleConnections(callerHttpServer, clock, log);
    this.readyServer = createReadinessServer(
      settings.readyPath,
      () => this.isReady,
      isReady => this.logReadiness(isReady),
      guardOf('ready'),
    );
    this.metricsServer = createOperatorServer(
      this.context,
      this.dispatcher,
      network,
      guardOf('metrics'),
    );
  }

  /** Starts listening for peers, callers, readiness checks and metrics. */
  async start(): Promise<void> {
    const {settings, log} = this.options;
    const handlers = createPeerHandlers({
      dispatcher: this.dispatcher,
      usageExchange: this.usageExchange,
      crashGuard: this.context.crashGuard,
      streamOrigins: this.context.streamOrigins,
      upstreamStatements: this.context.upstreamStatements,
      whenConfigured: () => this.startupGate.whenOpen(),
    });
    await this.network.listen({...this.peers.handlers, ...handlers});
    await listenOn(this.callerHttpServer, settings.callerAddress);
    await listenOn(this.readyServer, settings.readyAddress);
    const {metricsPort, tunnelAddress} = settings;
    if (tunnelAddress !== undefined) {
      await listenOn(this.context.upstreamPaths.tunnels.server, tunnelAddress);
    }
    if (metricsPort !== undefined) {
      const {host} = splitAddress(settings.readyAddress);
      await listenOn(this.metricsServer, `${host}:${metricsPort}`);
    }
    log.info('gateway_started', {
      member: settings.memberId,
      zone: settings.zone,
    });
  }

  /** Activates a configuration unless its version is not newer. */
  applyConfig(cfg: GatewayConfig): void {
    this.configState.apply(cfg);
    if (this.configState.current !== cfg) return;
    const now = this.options.clock.monotonicMs();
    for (const {name, quota} of cfg.accountsByKey.values()) {
      if (quota) this.context.quotaLedger.openBucket(name, quota, now);
    }
    this.originHistory.routes.record(cfg, now);
    this.context.streamOrigins.handleConfigChanged();
    this.startupGate.check();
    this.idleConnections.setLimit(cfg.limits.idleTimeoutMs);
    this.callerHttpServer.headersTimeout = cfg.limits.headTimeoutMs;
  }

  /** Replaces the registered upstreams of all services. */
  setUpstreams(upstreams: UpstreamsByService): void {
    this.hasUpstreamList = true;
    this.upstreams.replace(upstreams, this.options.clock.monotonicMs());
    this.dispatcher.setUpstreams(this.upstreams.byService);
    this.context.upstreamPaths.retain(this.upstreams.addresses);
    this.context.streamOrigins.handleHistoryChanged();
    this.startupGate.check();
  }

  /** Applies what the gateways recorded of where streams may have begun. */
  setOriginRecord(record: OriginRecord): void {
    this.originHistory.recall(record);
    this.context.streamOrigins.handleHistoryChanged();
  }

  /** The versions of streams that gateways have stored; null if unreadable. */
  storedStreamVersions(): Promise<VersionsByService | null> {
    return this.context.streamArchive.versionsInUse();
  }

  /** Stores again what the platform's store may have lost of this gateway. */
  restoreStored(): void {
    this.context.streamArchive.rewrite();
  }

  /** Replaces the list of gateways; this one is always part of it. */
  setMembers(members: readonly GatewayMember[]): void {
    this.members.setMembers(members);
    this.context.quotaLedger.setMemberCount(this.members.allMembers.length);
  }

  /**
   * Applies new settings and logs which of the changed ones need a restart to
   * take effect.
   */
  reload(settings: GatewaySettings): void {
    const previous = this.context.settings;
    if (isDeepStrictEqual(previous, settings)) return;
    this.context.settings = settings;
    this.dispatcher.setRetryBudget(settings.retryBudget);
    this.context.quotaLedger.setTolerance(settings.quotaTolerance);
    this.options.log.info('settings_reloaded', {
      needsRestart: settingsToRestartFor(previous, settings) || undefined,
    });
  }

  /**
   * Whether the load balancer should send callers here: the gateway is not
   * stopping, and has upstreams and a configuration that is not stale.
   */
  get isReady(): boolean {
    const {maxConfigAgeMs} = this.context.settings;
    const maxAgeMs = (maxConfigAgeMs ?? Infinity) - CONFIG_AGE_MARGIN_MS;
    return (
      !this.isStopping &&
      this.configState.current !== null &&
      !this.upstreams.isEmpty &&
      this.configState.ageMs < maxAgeMs
    );
  }

  /**
   * Shuts down gracefully: fails the readiness check and waits until all requests
   * have their responses. The signal to stop may be `lateMs` milliseconds old.
   */
  async stop(lateMs = 0): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {callerServer, callerHttpServer, idleConnections} = this;
    const servers = {callerServer, callerHttpServer, idleConnections};
    await stopGracefully(this.context, servers, lateMs);
  }

  /** Closes all servers, connections and timers immediately. */
  close(): void {
    this.monitor.close();
    this.usageExchange.close();
    this.context.crashGuard.close();
    this.context.streamOrigins.close();
    this.context.dispatchClient.close();
    this.dispatcher.close();
    this.rollouts.close();
    this.network.close();
    for (const server of [
      this.callerHttpServer,
      this.readyServer,
      this.metricsServer,
    ]) {
      server.close();
      server.closeAllConnections();
    }
    this.context.upstreamPaths.close();
  }

  private logReadiness(isReady: boolean): void {
    this.options.log.info('readiness_changed', {
      isReady,
      isStopping: this.isStopping,
      hasUpstreams: !this.upstreams.isEmpty,
      configVersion: this.configState.current?.version,
      configAgeMs: Math.round(this.configState.ageMs),
    });
  }
}
