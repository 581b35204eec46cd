import {rankMembers} from '@fescuespool/coordination';
import type {GatewayMember} from './types.js';

/**
 * The members that share the queues, and which of them do not answer. Who holds
 * a key follows from rendezvous hashing, so members that see the same list agree
 * without a word.
 */
export class MemberDirectory {
  private members = new Map<string, GatewayMember>();
  private readonly suspects = new Set<string>();
  private readonly ranks = new Map<string, string[]>();
  private readonly listeners: Array<() => void> = [];
  private readonly suspectListeners: Array<(memberId: string) => void> = [];

  constructor(private ownEntry: GatewayMember) {
    this.members.set(ownEntry.id, ownEntry);
  }

  /** This member as it announces itself. */
  get self(): GatewayMember {
    return this.ownEntry;
  }

  /** All members, this one included. */
  get all(): GatewayMember[] {
    return [...this.members.values()];
  }

  /** The other members. */
  get others(): GatewayMember[] {
    return this.all.filter(member => member.id !== this.ownEntry.id);
  }

  /** Members that do not answer. */
  get suspected(): GatewayMember[] {
    return this.others.filter(member => this.suspects.has(member.id));
  }

  /** Calls a function with each member that stops to answer. */
  onSuspect(listener: (memberId: string) => void): void {
    this.suspectListeners.push(listener);
  }

  /** Calls a function after each change of owners. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Replaces the list of the other members. */
  setMembers(members: readonly GatewayMember[]): void {
    this.members = new Map(members.map(member => [member.id, member]));
    this.members.set(this.ownEntry.id, this.ownEntry);
    for (const id of [...this.suspects]) {
      if (!this.members.has(id)) this.suspects.delete(id);
    }
    this.changed();
  }

  /** Announces that this member is stopping. */
  leave(): void {
    this.ownEntry = {...this.ownEntry, isLeaving: true};
    this.members.set(this.ownEntry.id, this.ownEntry);
    this.changed();
  }

  /** Passes over a member until it answers again. */
  suspect(id: string): boolean {
    if (id === this.ownEntry.id || this.suspects.has(id)) return false;
    this.suspects.add(id);
    for (const listener of this.suspectListeners) listener(id);
    this.changed();
    return true;
  }

  /** Uses a member again. */
  clearSuspicion(id: string): boolean {
    if (!this.suspects.delete(id)) return false;
    this.changed();
    return true;
  }

  /** Whether a member does not answer. */
  isSuspected(id: string): boolean {
    return this.suspects.has(id);
  }

  /** The member that holds a key, as seen from here. */
  ownerOf(key: string): GatewayMember {
    for (const id of this.rank(key)) {
      const member = this.members.get(id);
      if (member && !this.suspects.has(id)) return member;
    }
    return this.ownEntry;
  }

  /** Whether a member is this one. */
  isSelf(member: GatewayMember): boolean {
    return member.id === this.ownEntry.id;
  }

  /** Whether this member holds a key. */
  isOwnerOf(key: string): boolean {
    return this.isSelf(this.ownerOf(key));
  }

  private rank(key: string): string[] {
    const known = this.ranks.get(key);
    if (known) return known;
    const ids = this.all.filter(m => !m.isLeaving).map(m => m.id);
    const ranked = rankMembers(ids, key);
    this.ranks.set(key, ranked);
    return ranked;
  }

  private changed(): void {
    this.ranks.clear();
    for (const listener of this.listeners) listener();
  }
}
