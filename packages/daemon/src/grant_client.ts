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
   * Ends the wait at the current dispatcher, so that the request is repeated at
   * its successor.
   */
  readonly abandon: () => void;
}

const MOVED: GrantAnswer = {kind: GRANT_KIND.MOVED};

function refusedAnswer(reason: RefusalReason): GrantWaitResult['answer'] {
  return {kind: GRANT_KIND.REFUSED, reason, retryAfterMs: null};
}

/**
 * Requests grants for the entry from the dispatcher of each service, repeats
 * a request at the successor when the dispatcher changes, and reports progress
 * and end of each run.
 */
export class GrantClient {
  private readonly pendingGrants = new Map<string, PendingGrant>();
  private readonly activeRuns = new Map<string, RunningRequest>();
  private readonly registeredDispatchers = new Map<string, string>();

  constructor(
    private readonly context: DaemonContext,
    private readonly localDispatcher: () => DispatcherRole,
  ) {}

  /** Number of active runs of this entry. */
  get runningCount(): number {
    return this.activeRuns.size;
  }

  /** Returns those of the given requests that don't run at this entry. */
  filterEnded(requestIds: readonly string[]): string[] {
    return requestIds.filter(id => !this.activeRuns.has(id));
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
    const startedAtMs = clock.monotonicMs();
    for (;;) {
      const elapsedMs = clock.monotonicMs() - startedAtMs;
      const remainingMs = request.remainingMs - elapsedMs;
      if (signal.aborted) {
        const answer = refusedAnswer(REFUSAL_REASON.CALLER_GONE);
        return {answer, waitedMs: elapsedMs};
      }
      if (remainingMs <= 0) {
        const answer = refusedAnswer(REFUSAL_REASON.DEADLINE_EXPIRED);
        return {answer, waitedMs: elapsedMs};
      }
      const waitedMs = request.waitedMs + elapsedMs;
      const updated = {...request, remainingMs, waitedMs};
      const answer = await this.requestOnce(updated, signal);
      if (answer.kind !== GRANT_KIND.MOVED) {
        const totalWaitMs = clock.monotonicMs() - startedAtMs;
        return {answer, waitedMs: totalWaitMs};
      }
      this.context.metrics.increment('retry', {reason: 'dispatcher_moved'});
      await sleep(DISPATCHER_BACKOFF_MS, signal);
    }
  }

  /** Records a run, so that it can be registered with a new dispatcher. */
  recordStart(run: RunningRequest): void {
    this.activeRuns.set(run.request.requestId, run);
  }

  /** Reports the progress of a run; a lost report is not sent again. */
  reportProgress(report: ProgressReport): void {
    const dispatcher = this.context.dispatcherOf(report.service);
    if (!dispatcher) return;
    if (this.isLocalMember(dispatcher))
      this.localDispatcher().recordProgress(report);
    else this.context.network.notify(dispatcher, PEER_METHOD.PROGRESS, report);
  }

  /** Reports the end of a run, retrying until a dispatcher acknowledges it. */
  async reportEnd(report: ReleaseReport): Promise<void> {
    this.activeRuns.delete(report.requestId);
    for (let attempt = 0; attempt < MAX_REPORT_ATTEMPTS; attempt++) {
      const dispatcher = this.context.dispatcherOf(report.service);
      if (dispatcher && (await this.reportTo(dispatcher, report))) return;
      await sleep(DISPATCHER_BACKOFF_MS * (attempt + 1));
    }
  }

  /** Registers the runs of this entry with each dispatcher that has changed. */
  registerWithDispatchers(services: readonly string[]): void {
    for (const service of services) {
      const dispatcher = this.context.dispatcherOf(service);
      if (
        !dispatcher ||
        this.registeredDispatchers.get(service) === dispatcher.id
      )
        continue;
      const isFirst = !this.registeredDispatchers.has(service);
      this.registeredDispatchers.set(service, dispatcher.id);
      if (!isFirst) this.abandonPendingGrants(service);
      this.registerWith(dispatcher, service);
    }
  }

  private isLocalMember(member: Member): boolean {
    return member.id === this.context.settings.memberId;
  }

  private async requestOnce(
    request: GrantRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    const {requestId, service} = request;
    const dispatcher = this.context.dispatcherOf(service);
    if (!dispatcher) return MOVED;
    let isAbandoned = false;
    const answer = this.callDispatcher(dispatcher, request).then(granted => {
      // A grant that arrives after the request was abandoned here is returned,
      // so that its slot is freed.
      if (isAbandoned && granted.kind === GRANT_KIND.GRANTED) {
        this.returnGrant(dispatcher, request);
      }
      return granted;
    });
    const abandoned = new Promise<GrantAnswer>(resolve => {
      const abandon = (): void => resolve(MOVED);
      this.pendingGrants.set(requestId, {service, abandon});
      signal.addEventListener('abort', abandon, {once: true});
    });
    const result = await Promise.race([answer, abandoned]);
    this.pendingGrants.delete(requestId);
    if (result === MOVED) {
      isAbandoned = true;
      this.cancelAt(dispatcher, service, requestId);
    }
    return result;
  }

  private async callDispatcher(
    dispatcher: Member,
    request: GrantRequest,
  ): Promise<GrantAnswer> {
    if (this.isLocalMember(dispatcher))
      return this.localDispatcher().requestGrant(request);
    const answer = await callPeer(
      this.context.network,
      dispatcher,
      PEER_METHOD.GRANT,
      request,
      GRANT_ANSWER_SCHEMA,
      request.remainingMs + GRANT_GRACE_MS,
    );
    return answer.unwrapOr(MOVED);
  }

  private cancelAt(
    dispatcher: Member,
    service: string,
    requestId: string,
  ): void {
    if (this.isLocalMember(dispatcher))
      this.localDispatcher().cancel(service, requestId);
    else {
      const params = {service, requestId};
      this.context.network.notify(dispatcher, PEER_METHOD.CANCEL, params);
    }
  }

  private returnGrant(dispatcher: Member, request: GrantRequest): void {
    void this.reportTo(dispatcher, {
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
    dispatcher: Member,
    report: ReleaseReport,
  ): Promise<boolean> {
    if (this.isLocalMember(dispatcher)) {
      this.localDispatcher().recordEnd(report);
      return true;
    }
    const answer = await this.context.network.call(
      dispatcher,
      PEER_METHOD.RELEASE,
      report,
      PEER_CALL_TIMEOUT_MS,
    );
    return answer.isOk();
  }

  private abandonPendingGrants(service: string): void {
    for (const pending of this.pendingGrants.values()) {
      if (pending.service === service) pending.abandon();
    }
  }

  private registerWith(dispatcher: Member, service: string): void {
    const {memberId} = this.context.settings;
    const running = [...this.activeRuns.values()].filter(
      run => run.request.service === service,
    );
    const {causes} = this.localDispatcher().crashes;
    const message = {service, memberId, running, causes};
    if (this.isLocalMember(dispatcher))
      this.localDispatcher().registerRuns(message);
    else this.context.network.notify(dispatcher, PEER_METHOD.REGISTER, message);
  }
}
