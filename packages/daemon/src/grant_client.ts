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

/**
 * Final answer to a grant request and the milliseconds spent waiting for it.
 */
export interface GrantWaitResult {
  readonly answer: Exclude<GrantAnswer, {kind: typeof GRANT_KIND.MOVED}>;
  readonly waitedMs: number;
}

interface PendingGrant {
  readonly service: string;
  /**
   * Stops waiting at the current dispatcher, so that its successor is asked.
   */
  readonly giveUp: () => void;
}

const MOVED: GrantAnswer = {kind: GRANT_KIND.MOVED};

function refusedAnswer(reason: RefusalReason): GrantWaitResult['answer'] {
  return {kind: GRANT_KIND.REFUSED, reason, retryAfterMs: null};
}

/**
 * Requests grants for the entry from the dispatcher of each service, asks its
 * successor when the dispatcher changes, and reports progress and end of each
 * run.
 */
export class GrantClient {
  private readonly pendingGrants = new Map<string, PendingGrant>();
  private readonly running = new Map<string, RunningRequest>();
  private readonly registeredOwners = new Map<string, string>();

  constructor(
    private readonly context: DaemonContext,
    private readonly dispatcher: () => DispatcherRole,
  ) {}

  /** Number of requests that run under a grant. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Returns those of the given requests that don't run at this entry. */
  filterEnded(requestIds: readonly string[]): string[] {
    return requestIds.filter(id => !this.running.has(id));
  }

  /**
   * Waits for a grant until the deadline or until `signal` aborts; both resolve
   * with a refusal.
   */
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
        const answer = refusedAnswer(REFUSAL_REASON.CALLER_GONE);
        return {answer, waitedMs: elapsed};
      }
      if (remainingMs <= 0) {
        const answer = refusedAnswer(REFUSAL_REASON.DEADLINE_EXPIRED);
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

  /** Records a run, so that it can be registered with a new dispatcher. */
  recordStart(run: RunningRequest): void {
    this.running.set(run.request.requestId, run);
  }

  /** Reports the progress of a run; a lost report is not sent again. */
  reportProgress(report: ProgressReport): void {
    const owner = this.context.dispatcherOf(report.service);
    if (!owner) return;
    if (this.isSelf(owner)) this.dispatcher().recordProgress(report);
    else this.context.network.notify(owner, PEER_METHOD.PROGRESS, report);
  }

  /** Reports the end of a run, retrying until a dispatcher acknowledges it. */
  async reportEnd(report: ReleaseReport): Promise<void> {
    this.running.delete(report.requestId);
    for (let attempt = 0; attempt < MAX_REPORT_ATTEMPTS; attempt++) {
      const owner = this.context.dispatcherOf(report.service);
      if (owner && (await this.reportTo(owner, report))) return;
      await sleep(DISPATCHER_BACKOFF_MS * (attempt + 1));
    }
  }

  /** Registers the runs of this entry with each dispatcher that has changed. */
  registerWithDispatchers(services: readonly string[]): void {
    for (const service of services) {
      const owner = this.context.dispatcherOf(service);
      if (!owner || this.registeredOwners.get(service) === owner.id) continue;
      const isFirst = !this.registeredOwners.has(service);
      this.registeredOwners.set(service, owner.id);
      if (!isFirst) this.giveUpPendingGrants(service);
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
      this.pendingGrants.set(requestId, {service, giveUp});
      signal.addEventListener('abort', giveUp, {once: true});
    });
    const first = await Promise.race([answer, givenUp]);
    this.pendingGrants.delete(requestId);
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

  private giveUpPendingGrants(service: string): void {
    for (const pending of this.pendingGrants.values()) {
      if (pending.service === service) pending.giveUp();
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
