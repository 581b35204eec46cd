import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {CrashCause, CrashEvidence} from '@fescuespool/coordination';
import {CrashDetector, POISON_DEATH_THRESHOLD} from '@fescuespool/coordination';
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
import type {GatewayMember} from './types.js';

/**
 * Shares the evidence of requests that crash upstreams with the other members,
 * since such requests may arrive at any of them.
 */
export class CrashGuard {
  private readonly detector: CrashDetector;
  private readonly abortController = new AbortController();

  constructor(
    clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly random: () => number,
  ) {
    this.detector = new CrashDetector(clock, {
      onDeath: (fingerprint, deaths) => {
        const isSuspected = deaths >= POISON_DEATH_THRESHOLD;
        const event = isSuspected ? 'crash_suspected' : 'death_recorded';
        log.warn(event, {fingerprint, deaths});
      },
      onCause: (cause, deaths) => {
        log.warn('crash_cause_found', {part: cause.part, deaths});
        const params = {causes: [cause]};
        this.notifyOthers(GATEWAY_METHOD.CRASH_CAUSES_FOUND, params);
      },
    });
    void this.pullPeriodically();
  }

  /** Causes in force at this member. */
  get causes(): CrashCause[] {
    return this.detector.causes;
  }

  /** Whether a request is to be refused because it would crash its upstream. */
  isSuspected(evidence: CrashEvidence): boolean {
    return this.detector.isSuspected(evidence);
  }

  /** Whether one of the prompt parts is known to crash upstreams. */
  hasCause(promptParts: readonly string[]): boolean {
    return this.detector.hasCause(promptParts);
  }

  /**
   * Records at all members that an upstream died while it ran a request. If the
   * response had begun, the evidence must have no prompt parts.
   */
  announceDeath(instanceId: string, evidence: CrashEvidence): void {
    this.detector.recordDeath(instanceId, evidence);
    const {fingerprint, parts} = evidence;
    const report = {fingerprint, instanceId, suspectParts: [...parts]};
    this.notifyOthers(GATEWAY_METHOD.DEATH, report);
  }

  /** Records a death that another member has found. */
  recordDeath({fingerprint, instanceId, suspectParts}: DeathReport): void {
    const evidence = {fingerprint, parts: suspectParts};
    this.detector.recordDeath(instanceId, evidence);
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
    const cleared = this.detector.recordSurvival(parts);
    if (cleared.length > 0) {
      this.log.info('crash_parts_cleared', {parts: cleared.join(',')});
    }
    return cleared;
  }

  /** Adopts causes that another member has found. */
  adoptCauses(causes: readonly CrashCause[]): void {
    for (const {part} of this.detector.adoptCauses(causes)) {
      this.log.warn('crash_cause_adopted', {part});
    }
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
   * Asks other members for their causes: one that has just started or was cut
   * off has missed the notices.
   */
  private async pullPeriodically(): Promise<void> {
    const {signal} = this.abortController;
    while (!signal.aborted) {
      await sleep(CRASH_CAUSE_PULL_INTERVAL_MS, signal);
      await this.pull();
    }
  }

  private async pull(): Promise<void> {
    const member = this.pickPeer();
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

  /**
   * A random member that is not suspected, in another zone if there is one: the
   * members of a zone are cut off together.
   */
  private pickPeer(): GatewayMember | undefined {
    const {localMember, otherMembers} = this.members;
    const reachable = otherMembers.filter(
      ({id}) => !this.members.isSuspected(id),
    );
    const distant = reachable.filter(({zone}) => zone !== localMember.zone);
    const candidates = distant.length > 0 ? distant : reachable;
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
