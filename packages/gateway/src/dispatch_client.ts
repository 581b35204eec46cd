import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {
  EndReport,
  GrantRequest,
  QueueAnswer,
  StartReport,
  UpstreamLimits,
} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  GRANT_CALL_TIMEOUT_MS,
  MAX_LEAVING_REPORTED,
  MOVED_RETRY_DELAY_MS,
  RUN_REPORT_INTERVAL_MS,
} from './constants.js';
import type {Dispatcher} from './dispatcher.js';
import type {MemberDirectory} from './member_directory.js';
import type {RunReport} from './messages.js';
import {GRANT_ANSWER_SCHEMA} from './messages.js';
import type {PeerMonitor} from './peer_monitor.js';
import type {RetryLoans} from './retry_loans.js';
import type {GatewayMember} from './types.js';
import type {UpstreamRegistry} from './upstream_registry.js';

/**
 * Outcome of a request for an upstream; `aborted` if its signal fired first,
 * because the time limit passed or the caller disconnected.
 */
export type GrantResult =
  Exclude<QueueAnswer, {kind: 'moved'}> | {readonly kind: 'aborted'};

/** A granted request that this entry runs. */
interface GrantedRun {
  readonly service: string;
  readonly instanceId: string;
  readonly grantedBy: GatewayMember;
}

const MOVED: QueueAnswer = {kind: 'moved'};
const NEVER_RESOLVES = new Promise<void>(() => undefined);

/**
 * Client side of the dispatch queues. Requests an upstream from the owner of
 * the service's queue, fails over to the next owner as soon as PeerMonitor
 * suspects the current one (PING_AFTER_SILENCE_MS plus PING_TIMEOUT_MS after its
 * last message, and up to one check interval more), and reports the start and
 * end of each granted request to the member that granted it.
 */
export class DispatchClient {
  private readonly grantedRuns = new Map<string, GrantedRun>();
  private readonly reportedServices = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly monitor: PeerMonitor,
    private readonly dispatcher: Dispatcher,
    private readonly limits: UpstreamLimits,
    private readonly upstreams: UpstreamRegistry,
    private readonly retryLoans: RetryLoans,
  ) {
    this.timer = setInterval(() => this.reportRuns(), RUN_REPORT_INTERVAL_MS);
    members.onChange(() => this.reportRuns());
  }

  /**
   * Waits for an upstream, following the queue to its new owner when it moves.
   * The wait has no limit of its own; it ends when the signal is aborted.
   */
  async acquire(
    service: string,
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<GrantResult> {
    const start = this.clock.monotonicMs();
    for (let attempts = 0; !signal.aborted; attempts++) {
      const waitedMs = this.clock.monotonicMs() - start;
      const asked = withElapsedWait(request, waitedMs);
      // The owner that was asked before may have counted it.
      const isAskedAgain = request.isAskedAgain || attempts > 0;
      const answer = await this.requestFromOwner(
        service,
        {...asked, isAskedAgain},
        signal,
      );
      if (answer.kind !== 'moved') return answer;
      if (signal.aborted) break;
      this.log.info('grant_moved', {
        id: request.requestId,
        service,
        asked: attempts,
      });
      await sleep(MOVED_RETRY_DELAY_MS, signal);
    }
    return {kind: 'aborted'};
  }

  /**
   * Reports the first response byte of a request to the member that granted it.
   */
  reportStart(report: StartReport): void {
    const run = this.grantedRuns.get(report.requestId);
    if (!run) return;
    const {service, grantedBy} = run;
    if (this.members.isSelf(grantedBy))
      this.dispatcher.recordStart(service, report);
    else {
      const params = {service, report};
      this.network.notify(grantedBy, GATEWAY_METHOD.STARTED, params);
    }
  }

  /**
   * Reports the end of a request to the member that granted it, and to the
   * queue's current owner if that is another member.
   */
  reportEnd(report: EndReport): void {
    const run = this.grantedRuns.get(report.requestId);
    if (!run) return;
    this.grantedRuns.delete(report.requestId);
    this.sendEndReport(run.grantedBy, run.service, report);
    const owner = this.members.ownerOf(run.service);
    if (owner.id !== run.grantedBy.id) {
      this.sendEndReport(owner, run.service, report);
    }
  }

  /** Id of the member that granted a running request; undefined without one. */
  granterOf(requestId: string): string | undefined {
    return this.grantedRuns.get(requestId)?.grantedBy.id;
  }

  /** Reports what the upstreams of a service said to its queue now. */
  reportNow(instanceId: string): void {
    const service = this.upstreams.serviceOf(instanceId);
    const report = this.createRunReports().find(
      candidate => candidate.service === service,
    );
    if (report) this.sendRunReport(report);
  }

  /** Stops the periodic run reports. */
  close(): void {
    clearInterval(this.timer);
  }

  private async requestFromOwner(
    service: string,
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<QueueAnswer> {
    const {requestId} = request;
    const owner = this.members.ownerOf(service);
    let isAbandoned = false;
    const lendsRetries = this.retryLoans.lendTo(
      service,
      owner.id,
      this.clock.monotonicMs(),
    );
    const asked = {...request, lendsRetries};
    const pendingAnswer = this.callOwner(owner, service, asked).then(answer => {
      if (answer.kind !== 'placed') return answer;
      const {instanceId} = answer.placement.upstream;
      this.grantedRuns.set(requestId, {
        service,
        instanceId,
        grantedBy: owner,
      });
      // A grant that arrives after the wait was abandoned is returned, which
      // frees its slot.
      if (isAbandoned) this.returnGrant(owner, service, requestId);
      return answer;
    });
    const wait = (suspected: Promise<void>): Promise<QueueAnswer> =>
      waitUntilAbandoned(pendingAnswer, suspected, signal);
    const answer = this.members.isSelf(owner)
      ? await wait(NEVER_RESOLVES)
      : await this.monitor.watchDuring(owner, wait);
    if (answer !== MOVED) return answer;
    isAbandoned = true;
    this.sendCancel(owner, service, requestId);
    if (this.grantedRuns.has(requestId))
      this.returnGrant(owner, service, requestId);
    return MOVED;
  }

  private async callOwner(
    owner: GatewayMember,
    service: string,
    request: GrantRequest,
  ): Promise<QueueAnswer> {
    if (this.members.isSelf(owner))
      return this.dispatcher.requestGrant(service, request);
    const answer = await callPeer(
      this.network,
      owner,
      GATEWAY_METHOD.GRANT,
      {service, item: request},
      GRANT_ANSWER_SCHEMA,
      GRANT_CALL_TIMEOUT_MS,
    );
    if (answer.isErr())
      this.monitor.reportCallFailure(owner, answer.error.message);
    else this.monitor.recordContact(owner.id);
    return answer.unwrapOr(MOVED);
  }

  private sendCancel(
    owner: GatewayMember,
    service: string,
    requestId: string,
  ): void {
    if (this.members.isSelf(owner)) this.dispatcher.cancel(service, requestId);
    else {
      const params = {service, requestId};
      this.network.notify(owner, GATEWAY_METHOD.CANCEL, params);
    }
  }

  private returnGrant(
    owner: GatewayMember,
    service: string,
    requestId: string,
  ): void {
    this.grantedRuns.delete(requestId);
    this.sendEndReport(owner, service, {
      requestId,
      end: RUN_END.CANCELLED,
      runMs: 0,
      eventGapMs: null,
      load: null,
    });
  }

  private sendEndReport(
    owner: GatewayMember,
    service: string,
    report: EndReport,
  ): void {
    if (this.members.isSelf(owner)) this.dispatcher.recordEnd(service, report);
    else {
      const params = {service, report};
      this.network.notify(owner, GATEWAY_METHOD.ENDED, params);
    }
  }

  /**
   * Reports the requests running here and the known limits to the owner of each
   * queue. A service without any left gets one final empty report.
   */
  private reportRuns(): void {
    const reports = this.createRunReports();
    this.reportedServices.clear();
    for (const report of reports) {
      if (report.runs.length > 0) this.reportedServices.add(report.service);
      this.sendRunReport(report);
    }
  }

  private createRunReports(): RunReport[] {
    const now = this.clock.monotonicMs();
    const entryId = this.members.localMember.id;
    const reports = new Map<string, RunReport>();
    const reportOf = (service: string): RunReport => {
      const report = reports.get(service) ?? {
        service,
        entryId,
        runs: [],
        limits: [],
        leaving: [],
        pauses: [],
      };
      reports.set(service, report);
      return report;
    };
    for (const service of this.reportedServices) reportOf(service);
    for (const [requestId, {service, instanceId}] of this.grantedRuns) {
      reportOf(service).runs.push({requestId, instanceId});
    }
    for (const told of this.limits.statementsTo(entryId, now)) {
      const service = this.upstreams.serviceOf(told.instanceId);
      if (service === undefined) continue;
      const {statedAtMs, ...statement} = told;
      const ageMs = Math.round(now - statedAtMs);
      reportOf(service).limits.push({...statement, ageMs});
    }
    for (const pause of this.dispatcher.pauses.pausesOf(entryId, now)) {
      const {untilMs, ...life} = pause;
      const service = this.upstreams.serviceOf(life.instanceId);
      if (service === undefined) continue;
      const leftMs = Math.ceil(untilMs - now);
      reportOf(service).pauses.push({...life, leftMs});
    }
    const {leavingButListed} = this.upstreams;
    for (const told of leavingButListed.slice(0, MAX_LEAVING_REPORTED)) {
      const {service, ...life} = told;
      reportOf(service).leaving.push(life);
    }
    return [...reports.values()];
  }

  private sendRunReport(report: RunReport): void {
    const owner = this.members.ownerOf(report.service);
    if (this.members.isSelf(owner)) this.dispatcher.reconcile(report);
    else this.network.notify(owner, GATEWAY_METHOD.REPORT, report);
  }
}

/**
 * Resolves with the pending answer, or with MOVED if the signal is aborted or
 * the answering member is suspected first.
 */
async function waitUntilAbandoned(
  pendingAnswer: Promise<QueueAnswer>,
  memberSuspected: Promise<void>,
  signal: AbortSignal,
): Promise<QueueAnswer> {
  let abort: () => void = () => undefined;
  const aborted = new Promise<QueueAnswer>(resolve => {
    abort = () => resolve(MOVED);
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, {once: true});
  });
  try {
    return await Promise.race([
      pendingAnswer,
      memberSuspected.then(() => MOVED),
      aborted,
    ]);
  } finally {
    signal.removeEventListener('abort', abort);
  }
}

/** Returns the request with its remaining times reduced by the wait. */
function withElapsedWait(
  request: GrantRequest,
  waitedMs: number,
): GrantRequest {
  const {timeLeftMs} = request;
  return {
    ...request,
    timeLeftMs: timeLeftMs === null ? null : Math.round(timeLeftMs - waitedMs),
    objectiveLeftMs: Math.round(request.objectiveLeftMs - waitedMs),
    patienceLeftMs: Math.round(request.patienceLeftMs - waitedMs),
  };
}
