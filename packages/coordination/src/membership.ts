import type {Clock} from '@fescuespool/common';
import {
  DEAD_MEMBER_TTL_MS,
  GOSSIP_TRANSMISSIONS,
  INDIRECT_PROBES,
  MAX_GOSSIP_ITEMS,
  MEMBER_STATE,
  PROBE_FANOUT,
  SUSPICION_TIMEOUT_MS,
} from './constants.js';
import type {
  Member,
  MemberState,
  ProbeMessage,
  StateVersions,
} from './types.js';

interface MemberRecord {
  member: Member;
  /** Monotonic time of the last change of state. */
  changedAtMs: number;
  transmissionsLeft: number;
  /** Whether this process itself failed to reach the member. */
  isUnreachable: boolean;
}

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  [MEMBER_STATE.ALIVE]: 0,
  [MEMBER_STATE.SUSPECT]: 1,
  [MEMBER_STATE.LEAVING]: 2,
  [MEMBER_STATE.DEAD]: 3,
};

/** Whether a report about a member replaces what is known. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return STATE_ORDER[update.state] > STATE_ORDER[current.state];
}

/** Sends a probe and resolves with the answer, or null without one. */
export type SendProbe = (
  member: Member,
  message: ProbeMessage,
) => Promise<ProbeMessage | null>;

/** What the membership needs from its surroundings. */
export interface MembershipOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly versions: () => StateVersions;
  readonly sendProbe: SendProbe;
  /** Asks a helper whether it reaches a member that this process does not. */
  readonly requestIndirectProbe: (
    helper: Member,
    target: Member,
  ) => Promise<boolean>;
  /** Called with a peer that has a higher version of some state. */
  readonly onNewerVersions: (member: Member, versions: StateVersions) => void;
  /** Called after each change of the usable members. */
  readonly onChange: () => void;
}

/**
 * Knows which daemons live. Each round probes a few members; changes travel on
 * the probes, so that the cost of a member does not grow with their number.
 */
export class Membership {
  private readonly records = new Map<string, MemberRecord>();
  private self: Member;
  private nextTargetIndex = 0;

  constructor(private readonly options: MembershipOptions) {
    this.self = options.self;
  }

  /** This process as its peers should see it. */
  get localMember(): Member {
    return this.self;
  }

  /** All other members, also the dead ones that are remembered. */
  get otherMembers(): Member[] {
    return [...this.records.values()].map(entry => entry.member);
  }

  /** Whether a member lives and can be reached from here. */
  isUsable(memberId: string): boolean {
    if (memberId === this.self.id) return true;
    const entry = this.records.get(memberId);
    if (!entry || entry.isUnreachable) return false;
    return entry.member.state !== MEMBER_STATE.DEAD;
  }

  /** Identifiers of the members that may hold a role, this one included. */
  eligibleIds(zone?: string): string[] {
    const ids = [...this.records.values()]
      .filter(entry => !entry.isUnreachable)
      .map(entry => entry.member)
      .filter(
        member =>
          member.state === MEMBER_STATE.ALIVE ||
          member.state === MEMBER_STATE.SUSPECT,
      )
      .filter(member => zone === undefined || member.zone === zone)
      .map(member => member.id);
    const isCandidate = this.self.state === MEMBER_STATE.ALIVE;
    const isInZone = zone === undefined || zone === this.self.zone;
    // The last member keeps its roles while it leaves.
    const isLast = ids.length === 0;
    if (isInZone && (isCandidate || isLast)) ids.push(this.self.id);
    return ids.sort();
  }

  /** A member by its identifier. */
  find(memberId: string): Member | null {
    if (memberId === this.self.id) return this.self;
    return this.records.get(memberId)?.member ?? null;
  }

  /** Adds members that settings or the platform's list name. */
  addSeeds(members: readonly Member[]): void {
    for (const member of members) {
      if (member.id === this.self.id || this.records.has(member.id)) continue;
      this.store(member);
    }
  }

  /** Announces that this process leaves. */
  leave(): void {
    this.self = {...this.self, state: MEMBER_STATE.LEAVING};
    this.options.onChange();
  }

  /** Probes the members of this round. */
  async runProbeRound(fanout = PROBE_FANOUT): Promise<void> {
    this.expireMembers();
    const targets = this.nextProbeTargets(fanout);
    await Promise.all(targets.map(member => this.probe(member)));
  }

  /** Probes a member for a peer; tells whether it answers. */
  async probeForPeer(target: Member): Promise<boolean> {
    const answer = await this.options.sendProbe(target, this.createMessage());
    if (answer) this.applyMessage(answer);
    return answer !== null;
  }

  /** Handles a probe and makes its answer. */
  handleProbe(message: ProbeMessage): ProbeMessage {
    this.applyMessage(message);
    const answer = this.createMessage();
    // A restarted member has to learn of the incarnation that it must exceed.
    const known = this.records.get(message.from.id)?.member;
    if (!known || !supersedes(known, message.from)) return answer;
    return {...answer, changes: [...answer.changes, known]};
  }

  private createMessage(): ProbeMessage {
    const pending = [...this.records.values()]
      .filter(entry => entry.transmissionsLeft > 0)
      .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
      .slice(0, MAX_GOSSIP_ITEMS);
    for (const entry of pending) entry.transmissionsLeft--;
    return {
      from: this.self,
      versions: this.options.versions(),
      changes: pending.map(entry => entry.member),
    };
  }

  private async probe(member: Member): Promise<void> {
    const answer = await this.options.sendProbe(member, this.createMessage());
    if (answer) {
      this.applyMessage(answer);
      return;
    }
    this.markUnreachable(member);
    // One broken link must not make everyone doubt a member.
    if (!(await this.isReachableByPeers(member)))
      this.recordFailedProbe(member);
  }

  private async isReachableByPeers(target: Member): Promise<boolean> {
    const reachable = [...this.records.values()]
      .filter(entry => !entry.isUnreachable && entry.member.id !== target.id)
      .map(entry => entry.member)
      .filter(member => member.state === MEMBER_STATE.ALIVE);
    const count = Math.min(INDIRECT_PROBES, reachable.length);
    const helpers = Array.from(
      {length: count},
      (_, i) => reachable[(this.nextTargetIndex + i) % reachable.length]!,
    );
    const answers = await Promise.all(
      helpers.map(helper => this.options.requestIndirectProbe(helper, target)),
    );
    return answers.includes(true);
  }

  private applyMessage(message: ProbeMessage): void {
    const {from} = message;
    const entry = this.records.get(from.id);
    if (entry?.isUnreachable) {
      entry.isUnreachable = false;
      this.options.onChange();
    }
    // A member that answers lives, whatever was told of it before.
    const isRevived =
      entry !== undefined &&
      entry.member.incarnation === from.incarnation &&
      STATE_ORDER[entry.member.state] > STATE_ORDER[from.state];
    if (!entry || isRevived) this.store(from);
    else this.mergeUpdate(from);
    for (const change of message.changes) this.mergeUpdate(change);
    const {versions} = message;
    const own = this.options.versions();
    if (versions.config > own.config || versions.vms > own.vms) {
      this.options.onNewerVersions(from, versions);
    }
  }

  private markUnreachable(member: Member): void {
    const entry = this.records.get(member.id);
    if (!entry || entry.isUnreachable) return;
    entry.isUnreachable = true;
    this.options.onChange();
  }

  private recordFailedProbe(member: Member): void {
    const entry = this.records.get(member.id);
    if (!entry) return;
    const {state} = entry.member;
    if (state === MEMBER_STATE.ALIVE) {
      this.store({...entry.member, state: MEMBER_STATE.SUSPECT});
    } else if (state === MEMBER_STATE.LEAVING) {
      this.store({...entry.member, state: MEMBER_STATE.DEAD});
    }
  }

  private mergeUpdate(update: Member): void {
    if (update.id === this.self.id) {
      this.refute(update);
      return;
    }
    const entry = this.records.get(update.id);
    if (!entry) {
      if (update.state !== MEMBER_STATE.DEAD) this.store(update);
      return;
    }
    if (supersedes(update, entry.member)) this.store(update);
  }

  /** Answers a suspicion about this process with a higher incarnation. */
  private refute(update: Member): void {
    if (!supersedes(update, this.self)) return;
    this.self = {...this.self, incarnation: update.incarnation + 1};
  }

  private store(member: Member): void {
    const before = this.records.get(member.id);
    this.records.set(member.id, {
      member,
      changedAtMs: this.options.clock.monotonicMs(),
      transmissionsLeft: GOSSIP_TRANSMISSIONS,
      isUnreachable: before?.isUnreachable ?? false,
    });
    const isSame =
      before?.member.state === member.state &&
      before.member.incarnation === member.incarnation;
    if (!isSame) this.options.onChange();
  }

  private expireMembers(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [id, entry] of this.records) {
      const ageMs = nowMs - entry.changedAtMs;
      const {state} = entry.member;
      if (state === MEMBER_STATE.SUSPECT && ageMs > SUSPICION_TIMEOUT_MS) {
        this.store({...entry.member, state: MEMBER_STATE.DEAD});
      }
      if (state === MEMBER_STATE.DEAD && ageMs > DEAD_MEMBER_TTL_MS) {
        this.records.delete(id);
      }
    }
  }

  /** The next members in turn, and one dead one that may have come back. */
  private nextProbeTargets(fanout: number): Member[] {
    const all = this.otherMembers.sort((a, b) => (a.id < b.id ? -1 : 1));
    const live = all.filter(member => member.state !== MEMBER_STATE.DEAD);
    const dead = all.filter(member => member.state === MEMBER_STATE.DEAD);
    const targets: Member[] = [];
    for (let i = 0; i < Math.min(fanout, live.length); i++) {
      targets.push(live[this.nextTargetIndex++ % live.length]!);
    }
    const deadTarget = dead[this.nextTargetIndex % Math.max(1, dead.length)];
    if (deadTarget) targets.push(deadTarget);
    return targets;
  }
}
