import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {CrashCause} from '@fescuespool/coordination';
import {
  CrashCauseTracker,
  POISON_DEATH_THRESHOLD,
  PoisonRegistry,
} from '@fescuespool/coordination';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  CRASH_CAUSE_PULL_INTERVAL_MS,
  CRASH_CAUSE_PULL_TIMEOUT_MS,
  GATEWAY_METHOD,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import type {DeathReport} from './messages.js';
import {CRASH_CAUSES_SCHEMA} from './messages.js';

/** What a request is judged by: its fingerprint and the parts of its prompt. */
export interface CrashEvidence {
  readonly fingerprint: string;
  readonly promptParts: readonly string[];
}

/**
 * Recognizes requests that crash the upstreams that run them, by their whole
 * content or by one part of their prompt. All members share the evidence, since
 * such requests may arrive at any of them.
 */
export class CrashGuard {
  private readonly poisonRegistry: PoisonRegistry;
  private readonly causeTracker: CrashCauseTracker;
  private readonly abortController = new AbortController();
  private pullCount = 0;

  constructor(
    clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {
    this.poisonRegistry = new PoisonRegistry(clock, (fingerprint, deaths) => {
      const event =
        deaths < POISON_DEATH_THRESHOLD ? 'death_recorded' : 'crash_suspected';
      log.warn(event, {fingerprint, deaths});
    });
    this.causeTracker = new CrashCauseTracker(clock, (cause, deaths) => {
      log.warn('crash_cause_found', {part: cause.part, deaths});
      this.notifyOthers(GATEWAY_METHOD.CRASH_CAUSES_FOUND, {causes: [cause]});
    });
    void this.pullPeriodically();
  }

  /** Causes in force at this member. */
  get causes(): CrashCause[] {
    return this.causeTracker.causes;
  }

  /** Whether a request is to be refused because it would crash its upstream. */
  isSuspected({fingerprint, promptParts}: CrashEvidence): boolean {
    return (
      this.poisonRegistry.isSuspected(fingerprint) || this.hasCause(promptParts)
    );
  }

  /** Whether one of the prompt parts is known to crash upstreams. */
  hasCause(promptParts: readonly string[]): boolean {
    return this.causeTracker.findCause(promptParts) !== null;
  }

  /**
   * Records at all members that an upstream died while it ran a request. A
   * request whose response had begun does not count against its prompt parts.
   */
  announceDeath(
    instanceId: string,
    {fingerprint, promptParts}: CrashEvidence,
    hasBegun: boolean,
  ): void {
    const suspectParts = hasBegun ? [] : [...promptParts];
    const report = {fingerprint, instanceId, suspectParts};
    this.recordDeath(report);
    this.notifyOthers(GATEWAY_METHOD.DEATH, report);
  }

  /** Records a death that this or another member has found. */
  recordDeath({fingerprint, instanceId, suspectParts}: DeathReport): void {
    this.poisonRegistry.recordDeath(fingerprint, instanceId);
    const suspect = {content: fingerprint, parts: suspectParts};
    this.causeTracker.recordDeath(instanceId, suspect);
  }

  /**
   * Clears the prompt parts of a request whose response has begun and gone on,
   * at all members if any of the parts was suspected.
   */
  announceSurvival(promptParts: readonly string[]): void {
    const cleared = this.recordSurvival(promptParts);
    if (cleared.length === 0) return;
    this.notifyOthers(GATEWAY_METHOD.PARTS_CLEARED, {parts: cleared});
  }

  /** Clears prompt parts; returns those that were suspected. */
  recordSurvival(parts: readonly string[]): string[] {
    const cleared = this.causeTracker.recordSurvival(parts);
    if (cleared.length > 0) {
      this.log.info('crash_parts_cleared', {parts: cleared.join(',')});
    }
    return cleared;
  }

  /** Adopts causes that another member has found. */
  adoptCauses(causes: readonly CrashCause[]): void {
    this.causeTracker.adopt(causes);
  }

  /** Stops the periodic exchange. */
  close(): void {
    this.abortController.abort();
  }

  private notifyOthers(method: string, params: unknown): void {
    for (const member of this.members.otherMembers) {
      this.network.notify(member, method, params);
    }
  }

  /**
   * Asks the other members in turn for their causes: a member that has just
   * started or was cut off has missed the notices.
   */
  private async pullPeriodically(): Promise<void> {
    const {signal} = this.abortController;
    while (!signal.aborted) {
      await sleep(CRASH_CAUSE_PULL_INTERVAL_MS, signal);
      await this.pull();
    }
  }

  private async pull(): Promise<void> {
    const others = this.members.otherMembers.filter(
      ({id}) => !this.members.isSuspected(id),
    );
    const member = others[this.pullCount++ % Math.max(1, others.length)];
    if (!member) return;
    const answer = await callPeer(
      this.network,
      member,
      GATEWAY_METHOD.CRASH_CAUSES,
      {},
      CRASH_CAUSES_SCHEMA,
      CRASH_CAUSE_PULL_TIMEOUT_MS,
    );
    if (answer.isOk()) this.adoptCauses(answer.value.causes);
    else {
      const {message} = answer.error;
      this.log.info('crash_causes_not_pulled', {peer: member.id, message});
    }
  }
}
