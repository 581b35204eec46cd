import type {
  CellStatus,
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
  createPlacementPolicy,
  MEMBER_STATE,
  PoisonRegistry,
  POLL_INTERVAL_MS,
  rankMembers,
  JoinableRunRegistry,
  MIN_VERIFY_AGE_MS,
} from '@fescuespool/coordination';
import type {RegisterMessage} from '@fescuespool/protocol';
import {PEER_METHOD, REQUEST_LIST_SCHEMA} from '@fescuespool/protocol';
import type {ActiveVersion, VmListing} from '@fescuespool/state';
import {SERVICE_KIND, VM_STATE} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {
  PEER_CALL_TIMEOUT_MS,
  ON_DEMAND_VERIFY_MIN_AGE_MS,
  ON_DEMAND_VERIFY_TIMEOUT_MS,
} from './constants.js';

import {cancelStream, pollLoad} from './upstream_client.js';
import type {DaemonContext} from './types.js';

const DEFAULT_MAX_WAITING = 10_000;

/** The cells that this daemon dispatches. */
export class DispatcherRole {
  readonly poison: PoisonRegistry;
  private readonly cells = new Map<string, Cell>();
  private readonly registries = new Map<string, JoinableRunRegistry>();
  private readonly policy: PlacementPolicy;
  private readonly timer: NodeJS.Timeout;
  private readonly verifyTimer: NodeJS.Timeout;
  /** Services whose runs are being verified. */
  private readonly verifying = new Set<string>();
  private leavingVms = new Set<string>();

  constructor(
    private readonly context: DaemonContext,
    /** Cancels a run of this daemon's own entry. */
    private readonly preemptLocally: (requestId: string) => void,
    /** Those of the given requests that do not run at this daemon's entry. */
    private readonly endedLocally: (requestIds: readonly string[]) => string[],
  ) {
    this.poison = new PoisonRegistry(context.clock, (fingerprint, deaths) =>
      this.announcePoison(fingerprint, deaths),
    );
    this.policy = createPlacementPolicy(context.settings.placementPolicy);
    this.timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS);
    this.verifyTimer = setInterval(() => void this.verify(), MIN_VERIFY_AGE_MS);
    context.config.onChange(() => this.refreshUpstreams());
  }

  /** Handles a grant request, from a peer or from this daemon's entry. */
  async requestGrant(request: GrantRequest): Promise<GrantAnswer> {
    return this.cellOf(request.service).request(request);
  }

  /** Gives up a waiting request. */
  cancel(service: string, requestId: string): void {
    this.cells.get(service)?.cancel(requestId);
  }

  /** Records the progress of a run. */
  recordProgress(report: ProgressReport): void {
    this.cells.get(report.service)?.recordProgress(report);
  }

  /** Frees the slot of a run. */
  recordEnd(report: ReleaseReport): void {
    this.cells.get(report.service)?.release(report);
  }

  /** Takes over what a member runs. */
  registerRuns(message: RegisterMessage): void {
    const cell = this.cellOf(message.service);
    cell.register(message.memberId, message.running);
  }

  /** Remembers a run of the present dispatcher. */
  recordReplica(run: RunningRequest): void {
    this.registryOf(run.request.service).record(run);
  }

  /** Takes the leaving VMs of a new list over. */
  applyVmList(listing: VmListing): void {
    const leaving = listing.vms.filter(vm => vm.state === VM_STATE.LEAVING);
    this.leavingVms = new Set(leaving.map(vm => vm.id));
    this.refreshUpstreams();
  }

  /** Drops what a lost member waits for. */
  handleMemberLost(memberId: string): void {
    for (const cell of this.cells.values()) cell.handleEntryLoss(memberId);
  }

  /** Closes the cells that another member dispatches now. */
  handOverCells(): void {
    for (const [service, cell] of this.cells) {
      const owner = this.context.dispatcherOf(service);
      if (!owner || owner.id === this.context.settings.memberId) continue;
      this.cells.delete(service);
      cell.close();
      this.context.log.info('cell_handed_over', {service, to: owner.id});
    }
  }

  /** Describes the cells that this daemon dispatches. */
  cellStatuses(): CellStatus[] {
    const tiers = this.context.config.current?.cfg.tiers.length ?? 0;
    return [...this.cells.values()]
      .map(cell => cell.status(tiers))
      .filter(status => this.isOwn(status.service));
  }

  /** Stops all cells. */
  close(): void {
    clearInterval(this.timer);
    clearInterval(this.verifyTimer);
    for (const cell of this.cells.values()) cell.close();
    this.cells.clear();
  }

  private announcePoison(fingerprint: string, deaths: number): void {
    const {membership, network, settings, log} = this.context;
    log.warn('poison_suspected', {fingerprint, deaths});
    const params = {counts: {[fingerprint]: deaths}};
    for (const id of membership.eligibleIds()) {
      const member = membership.find(id);
      if (!member || id === settings.memberId) continue;
      network.notify(member, PEER_METHOD.POISON_ANNOUNCE, params);
    }
  }

  private isOwn(service: string): boolean {
    const owner = this.context.dispatcherOf(service);
    return owner?.id === this.context.settings.memberId;
  }

  private cellOf(service: string): Cell {
    const known = this.cells.get(service);
    if (known) return known;
    const {config, clock, membership, metrics, log} = this.context;
    const active = config.current;
    const cell = new Cell(
      {
        service,
        clock,
        policy: this.policy,
        poison: this.poison,
        joinableRuns: this.registryOf(service),
        maxWaiting:
          active?.cfg.services[service]?.maxWaiting ?? DEFAULT_MAX_WAITING,
        random: Math.random,
        preempt: run =>
          this.preempt(run.request.entryId, service, run.request.requestId),
        requestVerification: () => void this.verifyNow(service),
        onStale: () => this.rebuild(service),
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
    if (active) cell.setUpstreams(this.specsOf(service, active));
    log.info('cell_opened', {service});
    return cell;
  }

  /** Closes a cell whose counts are old; what is asked next makes it anew. */
  private rebuild(service: string): void {
    this.context.log.warn('cell_rebuilt', {service});
    this.cells.get(service)?.close();
    this.cells.delete(service);
  }

  private registryOf(service: string): JoinableRunRegistry {
    const known = this.registries.get(service);
    if (known) return known;
    const registry = new JoinableRunRegistry(this.context.clock);
    this.registries.set(service, registry);
    return registry;
  }

  private specsOf(service: string, active: ActiveVersion): UpstreamSpec[] {
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
        isLeaving: this.leavingVms.has(upstream.vm),
      }));
  }

  private refreshUpstreams(): void {
    const active = this.context.config.current;
    if (!active) return;
    for (const [service, cell] of this.cells) {
      cell.setUpstreams(this.specsOf(service, active));
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

  /** Sends the record of a run to the member that would succeed this one. */
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
    const next = rankMembers(others, service)[0];
    const member = next === undefined ? null : membership.find(next);
    return member?.state === MEMBER_STATE.DEAD ? null : member;
  }

  private async poll(): Promise<void> {
    const used = [...this.cells].filter(
      ([service, cell]) =>
        this.isOwn(service) || cell.waitingCount + cell.runningCount > 0,
    );
    const polls = used.flatMap(([, cell]) =>
      [...cell.upstreams.values()].map(async ({spec}) => {
        const load = await pollLoad(this.context, spec.url);
        cell.applyLoad(spec.id, load);
      }),
    );
    await Promise.all(polls);
  }

  /**
   * Asks the entries whether their older runs go on. The report of an end may
   * have gone to another dispatcher, or have been lost with its link.
   */
  private async verify(): Promise<void> {
    const questions = [...this.cells.values()].flatMap(cell =>
      [...cell.runsOlderThan(MIN_VERIFY_AGE_MS)].map(([entryId, requestIds]) =>
        this.verifyRuns(cell, entryId, requestIds, PEER_CALL_TIMEOUT_MS),
      ),
    );
    await Promise.all(questions);
  }

  /** Verifies all runs of a cell at once, before it preempts. */
  private async verifyNow(service: string): Promise<void> {
    const cell = this.cells.get(service);
    if (!cell || this.verifying.has(service)) return;
    this.verifying.add(service);
    const questions = [...cell.runsOlderThan(ON_DEMAND_VERIFY_MIN_AGE_MS)].map(
      ([entryId, requestIds]) =>
        this.verifyRuns(cell, entryId, requestIds, ON_DEMAND_VERIFY_TIMEOUT_MS),
    );
    await Promise.all(questions);
    this.verifying.delete(service);
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
    const ended = await this.askEnded(member, requestIds, timeoutMs);
    cell.endRuns(entryId, new Set(ended));
  }

  private async askEnded(
    member: Member,
    requestIds: readonly string[],
    timeoutMs: number,
  ): Promise<readonly string[]> {
    if (member.id === this.context.settings.memberId) {
      return this.endedLocally(requestIds);
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
