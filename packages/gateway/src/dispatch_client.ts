import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {
  EndReport,
  QueueAnswer,
  StartReport,
  WorkItem,
} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  GRANT_CALL_TIMEOUT_MS,
  MOVED_RETRY_DELAY_MS,
  RUN_REPORT_PERIOD_MS,
} from './constants.js';
import type {Dispatcher} from './dispatcher.js';
import type {MemberDirectory} from './member_directory.js';
import {GRANT_ANSWER_SCHEMA} from './messages.js';
import type {PeerMonitor} from './peer_monitor.js';
import type {GatewayMember} from './types.js';

/** Answer to a request for an upstream; `aborted` where its caller left. */
export type GrantResult =
  Exclude<QueueAnswer, {kind: 'moved'}> | {readonly kind: 'aborted'};

interface GrantedRun {
  readonly service: string;
  readonly instanceId: string;
  readonly granter: GatewayMember;
}

const MOVED: QueueAnswer = {kind: 'moved'};
const NEVER = new Promise<void>(() => undefined);

/**
 * The entry's side of grants: asks the holder of a service's queue, moves to the
 * next member within some tens of milliseconds when it falls silent, and tells
 * the holder what became of each grant.
 */
export class DispatchClient {
  private readonly running = new Map<string, GrantedRun>();
  private readonly reportedTo = new Map<string, string>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly monitor: PeerMonitor,
    private readonly dispatcher: Dispatcher,
  ) {
    this.timer = setInterval(() => this.report(), RUN_REPORT_PERIOD_MS);
    members.onChange(() => this.report());
  }

  /** Waits for an upstream, wherever the queue moves meanwhile. */
  async acquire(
    service: string,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<GrantResult> {
    const start = this.clock.monotonicMs();
    for (let asked = 0; !signal.aborted; asked++) {
      const waitedMs = this.clock.monotonicMs() - start;
      const answer = await this.ask(service, aged(item, waitedMs), signal);
      if (answer.kind !== 'moved') return answer;
      if (signal.aborted) break;
      this.log.info('grant_moved', {id: item.requestId, service, asked});
      await sleep(MOVED_RETRY_DELAY_MS, signal);
    }
    return {kind: 'aborted'};
  }

  /** Tells of the first byte of an answer. */
  reportStart(report: StartReport): void {
    const run = this.running.get(report.requestId);
    if (!run) return;
    const {service, granter} = run;
    if (this.members.isSelf(granter))
      this.dispatcher.recordStart(service, report);
    else {
      const params = {service, report};
      this.network.notify(granter, GATEWAY_METHOD.STARTED, params);
    }
  }

  /** Tells of the end of a run. */
  reportEnd(report: EndReport): void {
    const run = this.running.get(report.requestId);
    if (!run) return;
    this.running.delete(report.requestId);
    this.tellEnd(run.granter, run.service, report);
    const owner = this.members.ownerOf(run.service);
    if (owner.id !== run.granter.id) {
      this.tellEnd(owner, run.service, report);
    }
  }

  /** Stops the reports. */
  close(): void {
    clearInterval(this.timer);
  }

  private async ask(
    service: string,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<QueueAnswer> {
    const {requestId} = item;
    const owner = this.members.ownerOf(service);
    let isGivenUp = false;
    const asked = this.askOwner(owner, service, item).then(answer => {
      if (answer.kind !== 'placed') return answer;
      const {instanceId} = answer.placement.upstream;
      this.running.set(requestId, {service, instanceId, granter: owner});
      // A grant that comes after its request has moved on is handed back.
      if (isGivenUp) this.handBack(owner, service, requestId);
      return answer;
    });
    const wait = (lost: Promise<void>): Promise<QueueAnswer> =>
      untilGivenUp(asked, lost, signal);
    const answer = this.members.isSelf(owner)
      ? await wait(NEVER)
      : await this.monitor.watchDuring(owner, wait);
    if (answer !== MOVED) return answer;
    isGivenUp = true;
    this.cancelAt(owner, service, requestId);
    if (this.running.has(requestId)) this.handBack(owner, service, requestId);
    return MOVED;
  }

  private async askOwner(
    owner: GatewayMember,
    service: string,
    item: WorkItem,
  ): Promise<QueueAnswer> {
    if (this.members.isSelf(owner))
      return this.dispatcher.requestGrant(service, item);
    const answer = await callPeer(
      this.network,
      owner,
      GATEWAY_METHOD.GRANT,
      {service, item},
      GRANT_ANSWER_SCHEMA,
      GRANT_CALL_TIMEOUT_MS,
    );
    if (answer.isErr()) this.monitor.reportFailure(owner, answer.error.message);
    else this.monitor.recordContact(owner.id);
    return answer.unwrapOr(MOVED);
  }

  private cancelAt(
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

  private handBack(
    owner: GatewayMember,
    service: string,
    requestId: string,
  ): void {
    this.running.delete(requestId);
    this.tellEnd(owner, service, {
      requestId,
      end: RUN_END.CANCELLED,
      runMs: 0,
      eventGapMs: null,
      load: null,
    });
  }

  private tellEnd(
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

  /** Tells the holder of each queue what runs here, also once nothing does. */
  private report(): void {
    const byService = new Map<
      string,
      {requestId: string; instanceId: string}[]
    >();
    for (const service of this.reportedTo.keys()) byService.set(service, []);
    for (const [requestId, {service, instanceId}] of this.running) {
      const runs = byService.get(service) ?? [];
      runs.push({requestId, instanceId});
      byService.set(service, runs);
    }
    for (const [service, runs] of byService) {
      const owner = this.members.ownerOf(service);
      if (runs.length > 0) this.reportedTo.set(service, owner.id);
      else this.reportedTo.delete(service);
      this.reportTo(owner, service, runs);
    }
  }

  private reportTo(
    owner: GatewayMember,
    service: string,
    runs: {requestId: string; instanceId: string}[],
  ): void {
    const entryId = this.members.self.id;
    if (this.members.isSelf(owner))
      this.dispatcher.reconcile(service, entryId, runs);
    else {
      const params = {service, entryId, runs};
      this.network.notify(owner, GATEWAY_METHOD.REPORT, params);
    }
  }
}

/** Waits for an answer until the caller leaves or the other side is lost. */
async function untilGivenUp(
  asked: Promise<QueueAnswer>,
  lost: Promise<void>,
  signal: AbortSignal,
): Promise<QueueAnswer> {
  let abort: () => void = () => undefined;
  const aborted = new Promise<QueueAnswer>(resolve => {
    abort = () => resolve(MOVED);
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, {once: true});
  });
  try {
    return await Promise.race([asked, lost.then(() => MOVED), aborted]);
  } finally {
    signal.removeEventListener('abort', abort);
  }
}

/** A request as it stands after it has waited for some milliseconds. */
function aged(item: WorkItem, waitedMs: number): WorkItem {
  return {
    ...item,
    objectiveLeftMs: Math.round(item.objectiveLeftMs - waitedMs),
    patienceLeftMs: Math.round(item.patienceLeftMs - waitedMs),
  };
}
