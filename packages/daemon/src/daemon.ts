import type {Logger, Metrics} from '@fescuespool/common';
import {sleep, SYSTEM_CLOCK} from '@fescuespool/common';
import type {Member, ProbeMessage} from '@fescuespool/coordination';
import {
  MEMBER_STATE,
  Membership,
  ownerOf,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  REFUSAL_REASON,
} from '@fescuespool/coordination';
import {PEER_METHOD, PROBE_SCHEMA} from '@fescuespool/protocol';
import type {VmListing} from '@fescuespool/state';
import {ActiveConfig, ClaimStore, ConfigStore} from '@fescuespool/state';
import {
  callPeer,
  createPlatformClient,
  PeerNetwork,
} from '@fescuespool/transport';
import {CertificateWatcher} from './certificate_watcher.js';
import {ClaimGate} from './claim_gate.js';
import {ConfigSync} from './config_sync.js';
import {
  FREEZE_CHECK_INTERVAL_MS,
  FREEZE_THRESHOLD_MS,
  GAUGE_INTERVAL_MS,
} from './constants.js';
import {DispatcherRole} from './dispatcher_role.js';
import {EntryServer} from './entry_server.js';
import {GrantClient} from './grant_client.js';
import {OpenRequests} from './open_requests.js';
import {OperatorServer} from './operator_server.js';
import {createPeerHandlers} from './peer_handlers.js';
import {RetryBudget} from './retry_budget.js';
import type {Settings} from './settings.js';
import {TraceLog} from './trace_log.js';
import type {DaemonContext} from './types.js';

const SHUTDOWN_POLL_INTERVAL_MS = 50;

/** Ports that a daemon listens on; a setting of 0 yields a free port. */
export interface DaemonPorts {
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
}

/**
 * One fescuespoold process. It accepts requests from callers, dispatches the
 * cells assigned to it, and may be a relay that watches the platform for its
 * zone.
 */
export class Daemon {
  private readonly stop = new AbortController();
  private readonly context: DaemonContext;
  private readonly network: PeerNetwork;
  private readonly membership: Membership;
  private readonly configSync: ConfigSync;
  private readonly dispatcher: DispatcherRole;
  private readonly grantClient: GrantClient;
  private readonly openRequests: OpenRequests;
  private readonly entry: EntryServer;
  private readonly operator: OperatorServer;
  private readonly certificateWatchers: CertificateWatcher[] = [];
  private readonly peerHandlers: ReturnType<typeof createPeerHandlers>;
  private previouslyUsable = new Set<string>();
  private isDraining = false;
  private isMemberUpdatePending = false;
  /** Cache of each service's dispatcher; cleared when the members change. */
  private readonly dispatcherIds = new Map<string, string | null>();

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
    metrics: Metrics,
  ) {
    const clock = SYSTEM_CLOCK;
    const config = new ActiveConfig();
    const peerTls = this.watchCertificate(settings.peer.tls);
    this.network = new PeerNetwork({
      host: settings.peer.host,
      port: settings.peer.port,
      localAddress: settings.bindAddress,
      readTlsCredentials: peerTls ? () => peerTls.credentials : undefined,
    });
    peerTls?.onChange(tls => this.network.setTlsCredentials(tls));
    this.membership = this.createMembership();
    this.context = {
      settings,
      clock,
      log,
      metrics,
      config,
      network: this.network,
      membership: this.membership,
      dispatcherOf: service => this.dispatcherOf(service),
    };
    const platform = createPlatformClient({
      url: settings.platform.url,
      localAddress: settings.bindAddress,
    });
    const {memberId} = settings;
    const {incarnation} = this.membership.localMember;
    const claims = new ClaimStore(platform.store, {memberId, incarnation});
    this.openRequests = new OpenRequests(
      () => config.current?.cfg.limits.maxOpenRequests ?? 0,
      () => config.current?.cfg.limits.maxBufferedBytes ?? 0,
    );
    this.dispatcher = new DispatcherRole(
      this.context,
      requestId => this.openRequests.preempt(requestId),
      requestIds => this.grantClient.filterEnded(requestIds),
    );
    this.configSync = new ConfigSync(
      this.context,
      platform.store,
      platform.readVmList,
      listing => this.applyVmList(listing),
    );
    this.grantClient = new GrantClient(this.context, () => this.dispatcher);
    const traces = new TraceLog(clock.wallMs);
    const {context, grantClient, dispatcher, configSync, openRequests} = this;
    const claimGate = new ClaimGate(context, claims);
    const dependencies = {
      context,
      grantClient,
      retryBudget: new RetryBudget(),
      traces,
    };
    this.entry = new EntryServer({
      dependencies,
      claimGate,
      openRequests,
      isDraining: () => this.isDraining,
      tls: this.watchCertificate(settings.caller.tls),
    });
    this.operator = new OperatorServer({
      context,
      dispatcher,
      configSync,
      openRequests,
      grantClient,
      traces,
      configStore: new ConfigStore(platform.store),
      tls: this.watchCertificate(settings.operator.tls),
      isDraining: () => this.isDraining,
      drain: () => void this.shutdown(),
    });
    const peerDependencies = {
      context,
      dispatcher,
      configSync,
      claimGate,
      openRequests,
      grantClient,
      traces,
    };
    this.peerHandlers = createPeerHandlers(peerDependencies);
    config.onChange(() => this.reconcile());
  }

  /** Starts the listeners and background tasks; rejects if one fails to open. */
  async start(): Promise<DaemonPorts> {
    const {settings} = this;
    const peer = await this.network.listen(this.peerHandlers);
    this.membership.addSeeds(
      settings.seeds.map(seed => ({
        ...seed,
        incarnation: 0,
        state: MEMBER_STATE.ALIVE,
      })),
    );
    const {signal} = this.stop;
    void this.probeMembers(signal);
    void this.configSync.watchConfig(signal);
    void this.configSync.watchVmList(signal);
    void this.detectFreezes(signal);
    void this.reportGauges(signal);
    const {host, port} = settings.caller;
    const caller = await this.entry.listener.listen(host, port);
    const operator = await this.operator.listener.listen(
      settings.operator.host,
      settings.operator.port,
    );
    const {memberId, zone} = settings;
    this.log.info('started', {memberId, zone, caller, operator, peer});
    return {caller, operator, peer};
  }

  /**
   * Shuts down gracefully: reports not ready, hands over its cells and waits
   * for open requests to finish. Requests still open after `shutdown.limitMs`
   * are ended.
   */
  async shutdown(): Promise<void> {
    if (this.isDraining) return;
    const {balancerGraceMs, limitMs} = this.settings.shutdown;
    this.isDraining = true;
    this.log.info('leaving', {open: this.openRequests.size});
    this.membership.leave();
    const {signal} = this.stop;
    await this.membership.runProbeRound(Infinity);
    // Serves requests until the load balancer has detected the new readiness.
    await sleep(balancerGraceMs, signal);
    this.entry.listener.stopAccepting();
    const drainEndAtMs = this.context.clock.monotonicMs() + limitMs;
    while (this.entry.openCount > 0 && !signal.aborted) {
      if (this.context.clock.monotonicMs() >= drainEndAtMs) {
        this.openRequests.abortAll(REFUSAL_REASON.SHUTTING_DOWN);
        break;
      }
      await sleep(SHUTDOWN_POLL_INTERVAL_MS, signal);
    }
    await sleep(SHUTDOWN_POLL_INTERVAL_MS, signal);
    this.log.info('left', {open: this.entry.openCount});
    this.close();
  }

  /** Stops immediately and aborts open requests. */
  close(): void {
    this.stop.abort();
    this.dispatcher.close();
    this.entry.listener.close();
    this.operator.listener.close();
    this.network.close();
    for (const watcher of this.certificateWatchers) watcher.close();
  }

  /** Resolves once the daemon is closed. */
  async waitUntilClosed(): Promise<void> {
    const {signal} = this.stop;
    if (signal.aborted) return;
    await new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve(), {once: true}),
    );
  }

  private createMembership(): Membership {
    const {settings} = this;
    const address =
      settings.peer.advertise ?? `${settings.peer.host}:${settings.peer.port}`;
    return new Membership({
      self: {
        id: settings.memberId,
        zone: settings.zone,
        address,
        // Initial value; raised above any higher one that a peer has recorded.
        incarnation: SYSTEM_CLOCK.wallMs(),
        state: MEMBER_STATE.ALIVE,
      },
      clock: SYSTEM_CLOCK,
      versions: () => this.configSync.versions,
      sendProbe: (member, message) => this.sendProbe(member, message),
      requestIndirectProbe: (helper, target) =>
        this.requestIndirectProbe(helper, target),
      onNewerVersions: (member, versions) =>
        void this.configSync.pullFrom(member, versions),
      onChange: () => this.scheduleMemberUpdate(),
    });
  }

  private watchCertificate(
    files: Settings['caller']['tls'],
  ): CertificateWatcher | null {
    if (!files) return null;
    const watcher = new CertificateWatcher(files, this.log);
    this.certificateWatchers.push(watcher);
    return watcher;
  }

  private async sendProbe(
    member: Member,
    message: ProbeMessage,
  ): Promise<ProbeMessage | null> {
    const answer = await callPeer(
      this.network,
      member,
      PEER_METHOD.PROBE,
      message,
      PROBE_SCHEMA,
      PROBE_TIMEOUT_MS,
    );
    return answer.unwrapOr(null);
  }

  private async requestIndirectProbe(
    helper: Member,
    target: Member,
  ): Promise<boolean> {
    const answer = await this.network.call(
      helper,
      PEER_METHOD.INDIRECT_PROBE,
      {target},
      PROBE_TIMEOUT_MS,
    );
    return answer.isOk() && answer.value === true;
  }

  private dispatcherOf(service: string): Member | null {
    let dispatcherId = this.dispatcherIds.get(service);
    if (dispatcherId === undefined) {
      dispatcherId = ownerOf(this.membership.eligibleIds(), service);
      this.dispatcherIds.set(service, dispatcherId);
    }
    return dispatcherId === null ? null : this.membership.find(dispatcherId);
  }

  private async probeMembers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const round = this.membership.runProbeRound();
      await sleep(PROBE_INTERVAL_MS, signal);
      await round;
    }
  }

  /** Combines all membership changes of one event-loop turn in one update. */
  private scheduleMemberUpdate(): void {
    this.dispatcherIds.clear();
    if (this.isMemberUpdatePending) return;
    this.isMemberUpdatePending = true;
    setImmediate(() => {
      this.isMemberUpdatePending = false;
      if (!this.stop.signal.aborted) this.updateMembers();
    });
  }

  private updateMembers(): void {
    const usable = new Set(
      this.membership.otherMembers
        .map(member => member.id)
        .filter(id => this.membership.isUsable(id)),
    );
    for (const id of this.previouslyUsable) {
      if (usable.has(id)) continue;
      this.log.warn('member_lost', {member: id});
      this.network.disconnect(id);
      this.dispatcher.handleMemberLost(id);
    }
    for (const id of usable) {
      if (this.previouslyUsable.has(id)) continue;
      this.log.info('member_found', {member: id});
    }
    this.previouslyUsable = usable;
    this.reconcile();
  }

  /** Moves cells, waiting requests and registrations to new dispatchers. */
  private reconcile(): void {
    const services = this.context.config.current?.cfg.services ?? {};
    this.grantClient.registerWithDispatchers(Object.keys(services));
    this.dispatcher.handOverCells();
  }

  private async reportGauges(signal: AbortSignal): Promise<void> {
    const {metrics, config} = this.context;
    while (!signal.aborted) {
      metrics.gauge('open_requests', this.openRequests.size);
      metrics.gauge('running_requests', this.grantClient.runningCount);
      metrics.gauge('config_version', config.version);
      metrics.gauge('members', this.membership.eligibleIds().length);
      metrics.gauge('rss_bytes', process.memoryUsage.rss());
      await sleep(GAUGE_INTERVAL_MS, signal);
    }
  }

  private applyVmList(listing: VmListing): void {
    const {memberId} = this.settings;
    const seeds = listing.vms
      .filter(vm => vm.role === 'entry' && vm.address && vm.id !== memberId)
      .map(vm => ({
        id: vm.id,
        zone: vm.zone,
        address: vm.address ?? '',
        incarnation: 0,
        state: MEMBER_STATE.ALIVE,
      }));
    this.membership.addSeeds(seeds);
    this.dispatcher.applyVmList(listing);
  }

  /**
   * Detects that this process was frozen. Its view is then outdated, so it
   * probes every member and reads the configuration from the store.
   */
  private async detectFreezes(signal: AbortSignal): Promise<void> {
    const {clock} = this.context;
    let lastCheckMs = clock.monotonicMs();
    while (!signal.aborted) {
      await sleep(FREEZE_CHECK_INTERVAL_MS, signal);
      const nowMs = clock.monotonicMs();
      const gapMs = nowMs - lastCheckMs;
      lastCheckMs = nowMs;
      if (gapMs < FREEZE_THRESHOLD_MS) continue;
      this.log.warn('freeze_detected', {gapMs: Math.round(gapMs)});
      await this.membership.runProbeRound(Infinity);
      await this.configSync.refreshFromStore();
    }
  }
}
