import type {
  CellStatus,
  CrashCause,
  GrantAnswer,
  GrantRequest,
  Member,
  PlacementPolicy,
  ProgressReport,
  ReleaseReport,
  RunningRequest,
  UpstreamSpec,
} from '@fescuespool/coordination';
import {
  Cell,
  CrashDetector,
  createPlacementPolicy,
  JoinableRunRegistry,
  MEMBER_STATE,
  MIN_VERIFY_AGE_MS,
  POLL_INTERVAL_MS,
  rankMembers,
} from '@fescuespool/coordination';
import type {PoisonAnnouncement, RegisterMessage} from '@fescuespool/protocol';
import {PEER_METHOD, REQUEST_LIST_SCHEMA} from '@fescuespool/protocol';
import type {ActiveVersion, VmListing} from '@fescuespool/state';
import {SERVICE_KIND, VM_STATE} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {
  ON_DEMAND_VERIFY_MIN_AGE_MS,
  ON_DEMAND_VERIFY_TIMEOUT_MS,
  PEER_CALL_TIMEOUT_MS,
} from './constants.js';
import {cancelStream, pollLoad} from './upstream_client.js';
import type {DaemonContext} from './types.js';

const DEFAULT_MAX_WAITING = 10_000;

/**
 * Manages a cell, the request queue of a service, for each service that this
 * daemon dispatches.
 */
export class DispatcherRole {
  readonly crashes: CrashDetector;
  private readonly cells = new Map<string, Cell>();
  private readonly joinableRuns = new Map<string, JoinableRunRegistry>();
  private readonly policy: PlacementPolicy;
  private readonly pollTimer: NodeJS.Timeout;
  private readonly verifyTimer: NodeJS.Timeout;
  /** Services with a verification in progress; a second one is not started. */
  private readonly servicesBeingVerified = new Set<string>();
  private leavingVmIds = new Set<string>();

  constructor(
    private readonly context: DaemonContext,
    /** Ends a run of this daemon's own entry to free its slot. */
    private readonly preemptLocally: (requestId: string) => void,
    /**
     * Returns those of the given requests that don't run at this daemon's
     * entry.
     */
    private readonly filterEndedLocally: (
      requestIds: readonly string[],
    ) => string[],
  ) {
    this.crashes = new CrashDetector(context.clock, {
      onDeath: (fingerprint, deaths) => {
        context.log.warn('poison_suspected', {fingerprint, deaths});
        this.announcePoison({counts: {[fingerprint]: deaths}, causes: []});
      },
      onCause: (cause, deaths) => {
        context.log.warn('crash_cause_found', {part: cause.part, deaths});
        this.announcePoison({counts: {}, causes: [cause]});
      },
    });
    this.policy = createPlacementPolicy(context.settings.placementPolicy);
    this.pollTimer = setInterval(() => void this.pollLoads(), POLL_INTERVAL_MS);
    this.verifyTimer = setInterval(
      () => void this.verifyOldRuns(),
      MIN_VERIFY_AGE_MS,
    );
    context.config.onChange(() => this.refreshUpstreams());
  }

  /** Queues a request of a local or remote entry; resolves with the answer. */
  async requestGrant(request: GrantRequest): Promise<GrantAnswer> {
    return this.cellOf(request.service).request(request);
  }

  /** Removes a waiting request from the queue of its service. */
  cancel(service: string, requestId: string): void {
    this.cells.get(service)?.cancel(requestId);
  }

  /** Records the first token or the token interval that an entry reports. */
  recordProgress(report: ProgressReport): void {
    this.cells.get(report.service)?.recordProgress(report);
  }

  /** Records the end of a run and frees its slot at the upstream. */
  recordEnd(report: ReleaseReport): void {
    this.cells.get(report.service)?.release(report);
  }

  /** Replaces the recorded runs of a member by the ones that it reports. */
  registerRuns(message: RegisterMessage): void {
    this.adoptCrashCauses(message.causes);
    const cell = this.cellOf(message.service);
    cell.register(message.memberId, message.running);
  }

  /** Adopts prompt parts that crash upstreams, as another member has found. */
  adoptCrashCauses(causes: readonly CrashCause[]): void {
    for (const {part} of this.crashes.adoptCauses(causes)) {
      this.context.log.warn('crash_cause_adopted', {part});
    }
  }

  /** Records a joinable run that the current dispatcher replicates here. */
  recordReplica(run: RunningRequest): void {
    this.joinableRunsOf(run.request.service).record(run);
  }

  /** Marks the upstreams on VMs that the list reports as leaving. */
  applyVmList(listing: VmListing): void {
    const leaving = listing.vms.filter(vm => vm.state === VM_STATE.LEAVING);
    this.leavingVmIds = new Set(leaving.map(vm => vm.id));
    this.refreshUpstreams();
  }

  /**
   * Removes the waiting requests of a lost entry and marks its runs as orphans.
   */
  handleMemberLost(memberId: string): void {
    for (const cell of this.cells.values()) cell.handleEntryLoss(memberId);
  }

  /** Closes the cells of services that another member now dispatches. */
  handOverCells(): void {
    for (const [service, cell] of this.cells) {
      const dispatcher = this.context.dispatcherOf(service);
      if (!dispatcher || dispatcher.id === this.context.settings.memberId)
        continue;
      this.cells.delete(service);
      cell.close();
      this.context.log.info('cell_handed_over', {service, to: dispatcher.id});
    }
  }

  /**
   * Returns the status of each cell that this daemon dispatches, for operators.
   */
  cellStatuses(): CellStatus[] {
    const tiers = this.context.config.current?.cfg.tiers.length ?? 0;
    return [...this.cells.values()]
      .map(cell => cell.status(tiers))
      .filter(status => this.isDispatchedHere(status.service));
  }

  /** Stops the timers and closes all cells. */
  close(): void {
    clearInterval(this.pollTimer);
    clearInterval(this.verifyTimer);
    for (const cell of this.cells.values()) cell.close();
    this.cells.clear();
  }

  private announcePoison(params: PoisonAnnouncement): void {
    const {membership, network, settings} = this.context;
    for (const id of membership.eligibleIds()) {
      const member = membership.find(id);
      if (!member || id === settings.memberId) continue;
      network.notify(member, PEER_METHOD.POISON_ANNOUNCE, params);
    }
  }

  private isDispatchedHere(service: string): boolean {
    const dispatcher = this.context.dispatcherOf(service);
    return dispatcher?.id === this.context.settings.memberId;
  }

  private cellOf(service: string): Cell {
    const existing = this.cells.get(service);
    if (existing) return existing;
    const {config, clock, membership, metrics, log} = this.context;
    const active = config.current;
    const cell = new Cell(
      {
        service,
        clock,
        policy: this.policy,
        crashes: this.crashes,
        joinableRuns: this.joinableRunsOf(service),
        maxWaiting:
          active?.cfg.services[service]?.maxWaiting ?? DEFAULT_MAX_WAITING,
        random: Math.random,
        preempt: run =>
          this.preempt(run.request.entryId, service, run.request.requestId),
        requestVerification: () => void this.verifyRunsNow(service),
        onStale: () => this.discardCell(service),
        replicate: run => this.replicate(run),
        cancelOrphan: run => {
          const url = active?.cfg.upstreams[run.upstreamId]?.url;
          if (url) void cancelStream(this.context, url, run.request.requestId);
        },
        countEvent: (event, {tier}) =>
          metrics.increment('cell', {event, tier: String(tier)}),
      },
      membership.eligibleIds(),
    );
    this.cells.set(service, cell);
    if (active) cell.setUpstreams(this.upstreamSpecsOf(service, active));
    log.info('cell_opened', {service});
    return cell;
  }

  /**
   * Closes a cell whose run counts are stale; the next request creates a new
   * one.
   */
  private discardCell(service: string): void {
    this.context.log.warn('cell_rebuilt', {service});
    this.cells.get(service)?.close();
    this.cells.delete(service);
  }

  private joinableRunsOf(service: string): JoinableRunRegistry {
    const existing = this.joinableRuns.get(service);
    if (existing) return existing;
    const registry = new JoinableRunRegistry(this.context.clock);
    this.joinableRuns.set(service, registry);
    return registry;
  }

  private upstreamSpecsOf(
    service: string,
    active: ActiveVersion,
  ): UpstreamSpec[] {
    const isModel = active.cfg.services[service]?.kind === SERVICE_KIND.MODEL;
    return Object.entries(active.cfg.upstreams)
      .filter(([, upstream]) => upstream.service === service)
      .map(([id, upstream]) => ({
        id,
        zone: upstream.zone,
        url: upstream.url,
        slots: upstream.slots,
        cacheTokens: upstream.cacheTokens,
        prefillTokensPerSecond: upstream.prefillTokensPerSecond,
        decodeTokensPerSecond: upstream.decodeTokensPerSecond,
        isModel,
        isLeaving: this.leavingVmIds.has(upstream.vm),
      }));
  }

  private refreshUpstreams(): void {
    const active = this.context.config.current;
    if (!active) return;
    for (const [service, cell] of this.cells) {
      cell.setUpstreams(this.upstreamSpecsOf(service, active));
    }
  }

  private preempt(entryId: string, service: string, requestId: string): void {
    if (entryId === this.context.settings.memberId) {
      this.preemptLocally(requestId);
      return;
    }
    const member = this.context.membership.find(entryId);
    if (!member) return;
    const params = {service, requestId};
    this.context.network.notify(member, PEER_METHOD.PREEMPT, params);
  }

  /** Sends a joinable run to the member that would succeed this dispatcher. */
  private replicate(run: RunningRequest): void {
    if (run.request.joinKey === null) return;
    const successor = this.successorOf(run.request.service);
    if (!successor) return;
    this.context.network.notify(successor, PEER_METHOD.REPLICATE, run);
  }

  private successorOf(service: string): Member | null {
    const {membership, settings} = this.context;
    const others = membership
      .eligibleIds()
      .filter(id => id !== settings.memberId);
    const successorId = rankMembers(others, service)[0];
    const member =
      successorId === undefined ? null : membership.find(successorId);
    return member?.state === MEMBER_STATE.DEAD ? null : member;
  }

  private async pollLoads(): Promise<void> {
    const activeCells = [...this.cells].filter(
      ([service, cell]) =>
        this.isDispatchedHere(service) ||
        cell.waitingCount + cell.runningCount > 0,
    );
    const polls = activeCells.flatMap(([, cell]) =>
      [...cell.upstreams.values()].map(async ({spec}) => {
        const load = await pollLoad(this.context, spec.url);
        cell.applyLoad(spec.id, load);
      }),
    );
    await Promise.all(polls);
  }

  /**
   * Queries the entries for older runs that have ended. The report of an end may
   * have gone to another dispatcher or been lost with its connection.
   */
  private async verifyOldRuns(): Promise<void> {
    const verifications = [...this.cells.values()].flatMap(cell =>
      [...cell.runsOlderThan(MIN_VERIFY_AGE_MS)].map(([entryId, requestIds]) =>
        this.verifyRuns(cell, entryId, requestIds, PEER_CALL_TIMEOUT_MS),
      ),
    );
    await Promise.all(verifications);
  }

  /**
   * Verifies the runs of a cell at once, because it is about to preempt one.
   */
  private async verifyRunsNow(service: string): Promise<void> {
    const cell = this.cells.get(service);
    if (!cell || this.servicesBeingVerified.has(service)) return;
    this.servicesBeingVerified.add(service);
    const verifications = [
      ...cell.runsOlderThan(ON_DEMAND_VERIFY_MIN_AGE_MS),
    ].map(([entryId, requestIds]) =>
      this.verifyRuns(cell, entryId, requestIds, ON_DEMAND_VERIFY_TIMEOUT_MS),
    );
    await Promise.all(verifications);
    this.servicesBeingVerified.delete(service);
    cell.handleRunsVerified();
  }

  private async verifyRuns(
    cell: Cell,
    entryId: string,
    requestIds: readonly string[],
    timeoutMs: number,
  ): Promise<void> {
    const member = this.context.membership.find(entryId);
    if (!member) return;
    const endedIds = await this.fetchEndedRuns(member, requestIds, timeoutMs);
    cell.endRuns(entryId, new Set(endedIds));
  }

  private async fetchEndedRuns(
    member: Member,
    requestIds: readonly string[],
    timeoutMs: number,
  ): Promise<readonly string[]> {
    if (member.id === this.context.settings.memberId) {
      return this.filterEndedLocally(requestIds);
    }
    const answer = await callPeer(
      this.context.network,
      member,
      PEER_METHOD.VERIFY,
      {requestIds},
      REQUEST_LIST_SCHEMA,
      timeoutMs,
    );
    return answer.isOk() ? answer.value.requestIds : [];
  }
}
