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
import {CertificateWatcher} from './tls_keeper.js';
import {TraceLog} from './trace_log.js';
import type {DaemonContext} from './types.js';

const SHUTDOWN_POLL_MS = 50;

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
}

/** One fescuespoold: entry, dispatcher of some cells, and maybe a relay. */
export class Daemon {
  private readonly stop = new AbortController();
  private readonly context: DaemonContext;
  private readonly network: PeerNetwork;
  private readonly membership: Membership;
  private readonly sync: ConfigSync;
  private readonly dispatcher: DispatcherRole;
  private readonly grants: GrantClient;
  private readonly open: OpenRequests;
  private readonly entry: EntryServer;
  private readonly operator: OperatorServer;
  private readonly tls: CertificateWatcher[] = [];
  private readonly peerHandlers: ReturnType<typeof createPeerHandlers>;
  private usableBefore = new Set<string>();
  private isLeaving = false;
  private isChangePending = false;
  /** Dispatcher of each service among the present members. */
  private readonly owners = new Map<string, string | null>();

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
    metrics: Metrics,
  ) {
    const clock = SYSTEM_CLOCK;
    const config = new ActiveConfig();
    const peerTls = this.keepTls(settings.peer.tls);
    this.network = new PeerNetwork({
      host: settings.peer.host,
      port: settings.peer.port,
      localAddress: settings.bindAddress,
      readTlsCredentials: peerTls ? () => peerTls.credentials : undefined,
    });
    peerTls?.onChange(material => this.network.setTlsCredentials(material));
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
    this.open = new OpenRequests(
      () => config.current?.cfg.limits.maxOpenRequests ?? 0,
      () => config.current?.cfg.limits.maxBufferedBytes ?? 0,
    );
    this.dispatcher = new DispatcherRole(
      this.context,
      requestId => this.open.preempt(requestId),
      requestIds => this.grants.filterEnded(requestIds),
    );
    this.sync = new ConfigSync(
      this.context,
      platform.store,
      platform.readVmList,
      listing => this.takeVmList(listing),
    );
    this.grants = new GrantClient(this.context, () => this.dispatcher);
    const traces = new TraceLog(clock.wallMs);
    const {context, grants, dispatcher, sync, open: openRequests} = this;
    const claimGate = new ClaimGate(context, claims);
    const parts = {context, grants, retryBudget: new RetryBudget(), traces};
    this.entry = new EntryServer({
      dependencies: parts,
      gate: claimGate,
      openRequests: openRequests,
      isDraining: () => this.isLeaving,
      tls: this.keepTls(settings.caller.tls),
    });
    this.operator = new OperatorServer({
      context,
      dispatcher,
      sync,
      openRequests: openRequests,
      grants,
      traces,
      configStore: new ConfigStore(platform.store),
      tls: this.keepTls(settings.operator.tls),
      isDraining: () => this.isLeaving,
      drain: () => void this.shutdown(),
    });
    const peerParts = {
      context,
      dispatcher,
      sync,
      claimGate: claimGate,
      openRequests: openRequests,
      grants,
      traces,
    };
    this.peerHandlers = createPeerHandlers(peerParts);
    config.onChange(() => this.reconcile());
  }

  /** Starts to serve; resolves with the ports. */
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
    void this.sync.watchConfig(signal);
    void this.sync.watchVmList(signal);
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
   * Leaves without cutting a request: readiness goes false, the cells are
   * handed over, and open requests end, up to the limit of the settings.
   */
  async shutdown(): Promise<void> {
    if (this.isLeaving) return;
    const {balancerGraceMs, limitMs} = this.settings.shutdown;
    this.isLeaving = true;
    this.log.info('leaving', {open: this.open.size});
    this.membership.leave();
    const {signal} = this.stop;
    await this.membership.runProbeRound(Infinity);
    // Callers that the balancer still sends are served until it has noticed.
    await sleep(balancerGraceMs, signal);
    this.entry.listener.stopAccepting();
    const endAtMs = this.context.clock.monotonicMs() + limitMs;
    while (this.open.size > 0 && !signal.aborted) {
      if (this.context.clock.monotonicMs() >= endAtMs) {
        this.open.endAll(REFUSAL_REASON.SHUTTING_DOWN);
        break;
      }
      await sleep(SHUTDOWN_POLL_MS, signal);
    }
    await sleep(SHUTDOWN_POLL_MS, signal);
    this.log.info('left', {open: this.open.size});
    this.close();
  }

  /** Ends at once; open requests are cut. */
  close(): void {
    this.stop.abort();
    this.dispatcher.close();
    this.entry.listener.close();
    this.operator.listener.close();
    this.network.close();
    for (const keeper of this.tls) keeper.close();
  }

  /** Resolves when the daemon has ended. */
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
        // Only a first guess: peers tell of a higher one that they have seen.
        incarnation: SYSTEM_CLOCK.wallMs(),
        state: MEMBER_STATE.ALIVE,
      },
      clock: SYSTEM_CLOCK,
      versions: () => this.sync.versions,
      sendProbe: (member, message) => this.sendProbe(member, message),
      requestIndirectProbe: (helper, target) => this.askHelper(helper, target),
      onNewerVersions: (member, versions) =>
        void this.sync.pullFrom(member, versions),
      onChange: () => this.membersChanged(),
    });
  }

  private keepTls(files: Settings['caller']['tls']): CertificateWatcher | null {
    if (!files) return null;
    const keeper = new CertificateWatcher(files, this.log);
    this.tls.push(keeper);
    return keeper;
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

  private async askHelper(helper: Member, target: Member): Promise<boolean> {
    const answer = await this.network.call(
      helper,
      PEER_METHOD.INDIRECT_PROBE,
      {target},
      PROBE_TIMEOUT_MS,
    );
    return answer.isOk() && answer.value === true;
  }

  private dispatcherOf(service: string): Member | null {
    let owner = this.owners.get(service);
    if (owner === undefined) {
      owner = ownerOf(this.membership.eligibleIds(), service);
      this.owners.set(service, owner);
    }
    return owner === null ? null : this.membership.find(owner);
  }

  private async probeMembers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const round = this.membership.runProbeRound();
      await sleep(PROBE_INTERVAL_MS, signal);
      await round;
    }
  }

  /** Several changes in one turn of the event loop are handled together. */
  private membersChanged(): void {
    this.owners.clear();
    if (this.isChangePending) return;
    this.isChangePending = true;
    setImmediate(() => {
      this.isChangePending = false;
      if (!this.stop.signal.aborted) this.handleMemberChanges();
    });
  }

  private handleMemberChanges(): void {
    const usable = new Set(
      this.membership.otherMembers
        .map(member => member.id)
        .filter(id => this.membership.isUsable(id)),
    );
    for (const id of this.usableBefore) {
      if (usable.has(id)) continue;
      this.log.warn('member_lost', {member: id});
      this.network.disconnect(id);
      this.dispatcher.handleMemberLost(id);
    }
    for (const id of usable) {
      if (this.usableBefore.has(id)) continue;
      this.log.info('member_found', {member: id});
    }
    this.usableBefore = usable;
    this.reconcile();
  }

  /** Moves cells, waits and registrations to the present dispatchers. */
  private reconcile(): void {
    const services = this.context.config.current?.cfg.services ?? {};
    this.grants.registerWithDispatchers(Object.keys(services));
    this.dispatcher.handOverCells();
  }

  private async reportGauges(signal: AbortSignal): Promise<void> {
    const {metrics, config} = this.context;
    while (!signal.aborted) {
      metrics.gauge('open_requests', this.open.size);
      metrics.gauge('running_requests', this.grants.runningCount);
      metrics.gauge('config_version', config.version);
      metrics.gauge('members', this.membership.eligibleIds().length);
      metrics.gauge('rss_bytes', process.memoryUsage.rss());
      await sleep(GAUGE_INTERVAL_MS, signal);
    }
  }

  private takeVmList(listing: VmListing): void {
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

  /** After a freeze this process has an old view and asks everyone. */
  private async detectFreezes(signal: AbortSignal): Promise<void> {
    const {clock} = this.context;
    let before = clock.monotonicMs();
    while (!signal.aborted) {
      await sleep(FREEZE_CHECK_INTERVAL_MS, signal);
      const now = clock.monotonicMs();
      const gapMs = now - before;
      before = now;
      if (gapMs < FREEZE_THRESHOLD_MS) continue;
      this.log.warn('freeze_detected', {gapMs: Math.round(gapMs)});
      await this.membership.runProbeRound(Infinity);
      await this.sync.refreshFromStore();
    }
  }
}
