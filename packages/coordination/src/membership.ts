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
  /** Monotonic time of the last update. */
  changedAtMs: number;
  transmissionsLeft: number;
  /** Whether the last direct probe from this process failed. */
  isUnreachable: boolean;
}

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  [MEMBER_STATE.ALIVE]: 0,
  [MEMBER_STATE.SUSPECT]: 1,
  [MEMBER_STATE.LEAVING]: 2,
  [MEMBER_STATE.DEAD]: 3,
};

/** Whether an update about a member is newer than its current record. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return STATE_ORDER[update.state] > STATE_ORDER[current.state];
}

/** Sends a probe; resolves with the answer, or null if there is none. */
export type SendProbe = (
  member: Member,
  message: ProbeMessage,
) => Promise<ProbeMessage | null>;

/** Identity, transport and callbacks of a membership. */
export interface MembershipOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly versions: () => StateVersions;
  readonly sendProbe: SendProbe;
  /** Asks a helper to probe a member that this process can't reach. */
  readonly requestIndirectProbe: (
    helper: Member,
    target: Member,
  ) => Promise<boolean>;
  /** Called with a peer that has a newer config, VM list or store epoch. */
  readonly onNewerVersions: (member: Member, versions: StateVersions) => void;
  /** Called after a member's state, incarnation or reachability changed. */
  readonly onChange: () => void;
}

/**
 * Gossip membership and failure detection of the daemons. Each round probes a
 * few members, and probes carry the membership changes, so that the cost for
 * each member does not grow with the number of members.
 */
export class Membership {
  private readonly records = new Map<string, MemberRecord>();
  private self: Member;
  private nextTargetIndex = 0;

  constructor(private readonly options: MembershipOptions) {
    this.self = options.self;
  }

  /** Record of this process, as sent to its peers. */
  get localMember(): Member {
    return this.self;
  }

  /** All other members, including dead ones whose record is still kept. */
  get otherMembers(): Member[] {
    return [...this.records.values()].map(record => record.member);
  }

  /** Whether a member is not dead and can be reached from this process. */
  isUsable(memberId: string): boolean {
    if (memberId === this.self.id) return true;
    const record = this.records.get(memberId);
    if (!record || record.isUnreachable) return false;
    return record.member.state !== MEMBER_STATE.DEAD;
  }

  /** Sorted ids of the members that may hold a role, in `zone` if given. */
  eligibleIds(zone?: string): string[] {
    const ids = [...this.records.values()]
      .filter(record => !record.isUnreachable)
      .map(record => record.member)
      .filter(
        member =>
          member.state === MEMBER_STATE.ALIVE ||
          member.state === MEMBER_STATE.SUSPECT,
      )
      .filter(member => zone === undefined || member.zone === zone)
      .map(member => member.id);
    const isEligible = this.self.state === MEMBER_STATE.ALIVE;
    const isInZone = zone === undefined || zone === this.self.zone;
    // If no other member is eligible, a leaving one keeps its roles.
    const isLast = ids.length === 0;
    if (isInZone && (isEligible || isLast)) ids.push(this.self.id);
    return ids.sort();
  }

  /** Looks up a member by its id; null if there is no record. */
  find(memberId: string): Member | null {
    if (memberId === this.self.id) return this.self;
    return this.records.get(memberId)?.member ?? null;
  }

  /** Adds unrecorded members from the settings or the platform's list. */
  addSeeds(members: readonly Member[]): void {
    for (const member of members) {
      if (member.id === this.self.id || this.records.has(member.id)) continue;
      this.setMember(member);
    }
  }

  /** Marks this process as leaving; later probes announce it. */
  leave(): void {
    this.self = {...this.self, state: MEMBER_STATE.LEAVING};
    this.options.onChange();
  }

  /** Probes the next `fanout` members and one dead member. */
  async runProbeRound(fanout = PROBE_FANOUT): Promise<void> {
    this.expireMembers();
    const targets = this.nextProbeTargets(fanout);
    await Promise.all(targets.map(member => this.probe(member)));
  }

  /** Probes a member on behalf of a peer; resolves to whether it answers. */
  async probeForPeer(target: Member): Promise<boolean> {
    const answer = await this.options.sendProbe(target, this.createMessage());
    if (answer) this.applyMessage(answer);
    return answer !== null;
  }

  /** Applies a received probe and returns the answer. */
  handleProbe(message: ProbeMessage): ProbeMessage {
    this.applyMessage(message);
    const answer = this.createMessage();
    // A restarted member must receive the incarnation that it has to exceed.
    const recorded = this.records.get(message.from.id)?.member;
    if (!recorded || !supersedes(recorded, message.from)) return answer;
    return {...answer, changes: [...answer.changes, recorded]};
  }

  private createMessage(): ProbeMessage {
    const pending = [...this.records.values()]
      .filter(record => record.transmissionsLeft > 0)
      .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
      .slice(0, MAX_GOSSIP_ITEMS);
    for (const record of pending) record.transmissionsLeft--;
    return {
      from: this.self,
      versions: this.options.versions(),
      changes: pending.map(record => record.member),
    };
  }

  private async probe(member: Member): Promise<void> {
    const answer = await this.options.sendProbe(member, this.createMessage());
    if (answer) {
      this.applyMessage(answer);
      return;
    }
    this.markUnreachable(member);
    // A single failed link must not put a member under suspicion.
    if (!(await this.isReachableByPeers(member)))
      this.recordFailedProbe(member);
  }

  private async isReachableByPeers(target: Member): Promise<boolean> {
    const reachable = [...this.records.values()]
      .filter(record => !record.isUnreachable && record.member.id !== target.id)
      .map(record => record.member)
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
    const record = this.records.get(from.id);
    if (record?.isUnreachable) {
      record.isUnreachable = false;
      this.options.onChange();
    }
    // A message proves that its sender is alive, whatever was recorded.
    const isRevived =
      record !== undefined &&
      record.member.incarnation === from.incarnation &&
      STATE_ORDER[record.member.state] > STATE_ORDER[from.state];
    if (!record || isRevived) this.setMember(from);
    else this.mergeUpdate(from);
    for (const change of message.changes) this.mergeUpdate(change);
    const {versions} = message;
    const own = this.options.versions();
    const isNewer =
      versions.config > own.config ||
      versions.vms > own.vms ||
      versions.storeEpoch > own.storeEpoch;
    if (isNewer) {
      this.options.onNewerVersions(from, versions);
    }
  }

  private markUnreachable(member: Member): void {
    const record = this.records.get(member.id);
    if (!record || record.isUnreachable) return;
    record.isUnreachable = true;
    this.options.onChange();
  }

  private recordFailedProbe(member: Member): void {
    const record = this.records.get(member.id);
    if (!record) return;
    const {state} = record.member;
    if (state === MEMBER_STATE.ALIVE) {
      this.setMember({...record.member, state: MEMBER_STATE.SUSPECT});
    } else if (state === MEMBER_STATE.LEAVING) {
      this.setMember({...record.member, state: MEMBER_STATE.DEAD});
    }
  }

  private mergeUpdate(update: Member): void {
    if (update.id === this.self.id) {
      this.refute(update);
      return;
    }
    const record = this.records.get(update.id);
    if (!record) {
      if (update.state !== MEMBER_STATE.DEAD) this.setMember(update);
      return;
    }
    if (supersedes(update, record.member)) this.setMember(update);
  }

  /** Refutes a suspicion of this process by raising its incarnation. */
  private refute(update: Member): void {
    if (!supersedes(update, this.self)) return;
    this.self = {...this.self, incarnation: update.incarnation + 1};
  }

  private setMember(member: Member): void {
    const previous = this.records.get(member.id);
    this.records.set(member.id, {
      member,
      changedAtMs: this.options.clock.monotonicMs(),
      transmissionsLeft: GOSSIP_TRANSMISSIONS,
      isUnreachable: previous?.isUnreachable ?? false,
    });
    const isSame =
      previous?.member.state === member.state &&
      previous.member.incarnation === member.incarnation;
    if (!isSame) this.options.onChange();
  }

  private expireMembers(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [id, record] of this.records) {
      const ageMs = nowMs - record.changedAtMs;
      const {state} = record.member;
      if (state === MEMBER_STATE.SUSPECT && ageMs > SUSPICION_TIMEOUT_MS) {
        this.setMember({...record.member, state: MEMBER_STATE.DEAD});
      }
      if (state === MEMBER_STATE.DEAD && ageMs > DEAD_MEMBER_TTL_MS) {
        this.records.delete(id);
      }
    }
  }

  /** Next members in rotation, and a dead one in case it has restarted. */
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
