import {sleep} from '@fescuespool/common';
import type {
  GrantAnswer,
  GrantRequest,
  Member,
  ProgressReport,
  RefusalReason,
  ReleaseReport,
  RunningRequest,
} from '@fescuespool/coordination';
import {
  GRANT_KIND,
  REFUSAL_REASON,
  RELEASE_KIND,
} from '@fescuespool/coordination';
import {GRANT_ANSWER_SCHEMA, PEER_METHOD} from '@fescuespool/protocol';
import {callPeer} from '@fescuespool/transport';
import {
  DISPATCHER_BACKOFF_MS,
  GRANT_GRACE_MS,
  MAX_REPORT_ATTEMPTS,
  PEER_CALL_TIMEOUT_MS,
} from './constants.js';
import type {DispatcherRole} from './dispatcher_role.js';

import type {DaemonContext} from './types.js';

/** A grant with the time in milliseconds that it was waited for. */
export interface GrantWaitResult {
  readonly answer: Exclude<GrantAnswer, {kind: typeof GRANT_KIND.MOVED}>;
  readonly waitedMs: number;
}

interface Wait {
  readonly service: string;
  /** Ends the wait at the present dispatcher. */
  readonly move: () => void;
}

const MOVED: GrantAnswer = {kind: GRANT_KIND.MOVED};

function refused(reason: RefusalReason): GrantWaitResult['answer'] {
  return {kind: GRANT_KIND.REFUSED, reason, retryAfterMs: null};
}

/**
 * The entry's side of grants: waits with the present dispatcher, moves to its
 * successor, and reports what became of each grant.
 */
export class GrantClient {
  private readonly waits = new Map<string, Wait>();
  private readonly running = new Map<string, RunningRequest>();
  private readonly owners = new Map<string, string>();

  constructor(
    private readonly context: DaemonContext,
    private readonly dispatcher: () => DispatcherRole,
  ) {}

  /** Requests that run under a grant. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Those of the given requests that do not run here. */
  filterEnded(requestIds: readonly string[]): string[] {
    return requestIds.filter(id => !this.running.has(id));
  }

  /** Waits for a grant until the deadline or until the caller has gone. */
  async acquire(
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<GrantWaitResult> {
    const {clock} = this.context;
    const start = clock.monotonicMs();
    for (;;) {
      const elapsed = clock.monotonicMs() - start;
      const remainingMs = request.remainingMs - elapsed;
      if (signal.aborted) {
        const answer = refused(REFUSAL_REASON.CALLER_GONE);
        return {answer, waitedMs: elapsed};
      }
      if (remainingMs <= 0) {
        const answer = refused(REFUSAL_REASON.DEADLINE_EXPIRED);
        return {answer, waitedMs: elapsed};
      }
      const waitedMs = request.waitedMs + elapsed;
      const current = {...request, remainingMs, waitedMs};
      const answer = await this.ask(current, signal);
      if (answer.kind !== GRANT_KIND.MOVED) {
        const waited = clock.monotonicMs() - start;
        return {answer, waitedMs: waited};
      }
      this.context.metrics.increment('retry', {reason: 'dispatcher_moved'});
      await sleep(DISPATCHER_BACKOFF_MS, signal);
    }
  }

  /** Marks a granted request as running, so that successors learn of it. */
  recordStart(run: RunningRequest): void {
    this.running.set(run.request.requestId, run);
  }

  /** Reports the progress of a run; a lost report is not repeated. */
  reportProgress(report: ProgressReport): void {
    const owner = this.context.dispatcherOf(report.service);
    if (!owner) return;
    if (this.isSelf(owner)) this.dispatcher().progress(report);
    else this.context.network.notify(owner, PEER_METHOD.PROGRESS, report);
  }

  /** Reports the end of a run until a dispatcher has acknowledged it. */
  async reportEnd(report: ReleaseReport): Promise<void> {
    this.running.delete(report.requestId);
    for (let attempt = 0; attempt < MAX_REPORT_ATTEMPTS; attempt++) {
      const owner = this.context.dispatcherOf(report.service);
      if (owner && (await this.reportTo(owner, report))) return;
      await sleep(DISPATCHER_BACKOFF_MS * (attempt + 1));
    }
  }

  /** Registers with the dispatchers that have changed. */
  registerWithDispatchers(services: readonly string[]): void {
    for (const service of services) {
      const owner = this.context.dispatcherOf(service);
      if (!owner || this.owners.get(service) === owner.id) continue;
      const isFirst = !this.owners.has(service);
      this.owners.set(service, owner.id);
      if (!isFirst) this.moveWaits(service);
      this.registerWith(owner, service);
    }
  }

  private isSelf(member: Member): boolean {
    return member.id === this.context.settings.memberId;
  }

  private async ask(
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    const {requestId, service} = request;
    const owner = this.context.dispatcherOf(service);
    if (!owner) return MOVED;
    let isGivenUp = false;
    const answer = this.askOwner(owner, request).then(result => {
      // A grant that comes after its request has moved on is handed back.
      if (isGivenUp && result.kind === GRANT_KIND.GRANTED) {
        this.handBack(owner, request);
      }
      return result;
    });
    const givenUp = new Promise<GrantAnswer>(resolve => {
      const giveUp = (): void => resolve(MOVED);
      this.waits.set(requestId, {service, move: giveUp});
      signal.addEventListener('abort', giveUp, {once: true});
    });
    const first = await Promise.race([answer, givenUp]);
    this.waits.delete(requestId);
    if (first === MOVED) {
      isGivenUp = true;
      this.cancelAt(owner, service, requestId);
    }
    return first;
  }

  private async askOwner(
    owner: Member,
    request: GrantRequest,
  ): Promise<GrantAnswer> {
    if (this.isSelf(owner)) return this.dispatcher().requestGrant(request);
    const answer = await callPeer(
      this.context.network,
      owner,
      PEER_METHOD.GRANT,
      request,
      GRANT_ANSWER_SCHEMA,
      request.remainingMs + GRANT_GRACE_MS,
    );
    return answer.unwrapOr(MOVED);
  }

  private cancelAt(owner: Member, service: string, requestId: string): void {
    if (this.isSelf(owner)) this.dispatcher().cancel(service, requestId);
    else {
      const params = {service, requestId};
      this.context.network.notify(owner, PEER_METHOD.CANCEL, params);
    }
  }

  private handBack(owner: Member, request: GrantRequest): void {
    void this.reportTo(owner, {
      requestId: request.requestId,
      service: request.service,
      kind: RELEASE_KIND.NOT_ACCEPTED,
      firstTokenMs: null,
      decodeMs: null,
      outputTokens: 0,
      computedPromptTokens: null,
    });
  }

  private async reportTo(
    owner: Member,
    report: ReleaseReport,
  ): Promise<boolean> {
    if (this.isSelf(owner)) {
      this.dispatcher().recordEnd(report);
      return true;
    }
    const answer = await this.context.network.call(
      owner,
      PEER_METHOD.RELEASE,
      report,
      PEER_CALL_TIMEOUT_MS,
    );
    return answer.isOk();
  }

  private moveWaits(service: string): void {
    for (const wait of this.waits.values()) {
      if (wait.service === service) wait.move();
    }
  }

  private registerWith(owner: Member, service: string): void {
    const {memberId} = this.context.settings;
    const running = [...this.running.values()].filter(
      run => run.request.service === service,
    );
    const message = {service, memberId, running};
    if (this.isSelf(owner)) this.dispatcher().registerRuns(message);
    else this.context.network.notify(owner, PEER_METHOD.REGISTER, message);
  }
}
