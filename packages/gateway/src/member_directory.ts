import {rankMembers} from '@fescuespool/coordination';
import type {QueueMembers} from '@fescuespool/scheduling';
import {LRUCache} from 'lru-cache';
import {MAX_RANKED_KEYS} from './constants.js';
import type {GatewayMember} from './types.js';

/**
 * Tracks the members that share the queues and which of them are suspected to
 * have failed. Owners of keys are chosen by rendezvous hashing, so members with
 * the same member list agree on them without coordination.
 */
export class MemberDirectory {
  private members = new Map<string, GatewayMember>();
  private readonly suspectedIds = new Set<string>();
  private readonly rankedIdsByKey = new LRUCache<string, string[]>({
    max: MAX_RANKED_KEYS,
  });
  private goByRecord: boolean | null = null;
  private readonly changeListeners: Array<() => void> = [];
  private readonly suspectListeners: Array<(memberId: string) => void> = [];

  constructor(private ownMember: GatewayMember) {
    this.members.set(ownMember.id, ownMember);
  }

  /** The members as the owner of a queue sees them. */
  get queueMembers(): QueueMembers {
    return {
      localId: this.ownMember.id,
      isSuspected: id => this.isSuspected(id),
      hasSuspects: () => this.suspectedIds.size > 0,
      reachedPart: () => 1 - this.suspectedIds.size / this.members.size,
      memberCount: () => this.members.size,
      rankedFor: key => this.rankedIds(key),
    };
  }

  /** This member, as published to the others. */
  get localMember(): GatewayMember {
    return this.ownMember;
  }

  /** All members, including this one and suspected ones. */
  get allMembers(): GatewayMember[] {
    return [...this.members.values()];
  }

  /** Whether all members heed the record of where streams may have begun. */
  get allGoByOriginRecord(): boolean {
    this.goByRecord ??= this.allMembers.every(
      ({goesByOriginRecord}) => goesByOriginRecord === true,
    );
    return this.goByRecord;
  }

  /** All members except this one. */
  get otherMembers(): GatewayMember[] {
    return this.allMembers.filter(member => member.id !== this.ownMember.id);
  }

  /** Members currently suspected to have failed. */
  get suspectedMembers(): GatewayMember[] {
    return this.otherMembers.filter(member => this.suspectedIds.has(member.id));
  }

  /**
   * Registers a listener that receives the id of each newly suspected member.
   */
  onSuspected(listener: (memberId: string) => void): void {
    this.suspectListeners.push(listener);
  }

  /** Registers a listener for changes that may move keys to other owners. */
  onChange(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  /** Replaces the member list; this member stays in it. */
  setMembers(members: readonly GatewayMember[]): void {
    this.members = new Map(members.map(member => [member.id, member]));
    this.members.set(this.ownMember.id, this.ownMember);
    for (const id of [...this.suspectedIds]) {
      if (!this.members.has(id)) this.suspectedIds.delete(id);
    }
    this.rankedIdsByKey.clear();
    this.goByRecord = null;
    this.notifyChange();
  }

  /** Marks this member as leaving, so that its keys move to the others. */
  leave(): void {
    this.ownMember = {...this.ownMember, isLeaving: true};
    this.members.set(this.ownMember.id, this.ownMember);
    this.rankedIdsByKey.clear();
    this.notifyChange();
  }

  /**
   * Excludes a member from ownership until clearSuspicion(). Returns whether it
   * was not suspected before; this member itself is never suspected.
   */
  markSuspected(id: string): boolean {
    if (id === this.ownMember.id || this.suspectedIds.has(id)) return false;
    this.suspectedIds.add(id);
    for (const listener of this.suspectListeners) listener(id);
    this.notifyChange();
    return true;
  }

  /**
   * Makes a member eligible as owner again; returns whether it was suspected.
   */
  clearSuspicion(id: string): boolean {
    if (!this.suspectedIds.delete(id)) return false;
    this.notifyChange();
    return true;
  }

  /** Whether a member is currently suspected to have failed. */
  isSuspected(id: string): boolean {
    return this.suspectedIds.has(id);
  }

  /**
   * The owner of a key according to this member's list and suspicions; this
   * member if no other is eligible.
   */
  ownerOf(key: string): GatewayMember {
    for (const id of this.rankedIds(key)) {
      const member = this.members.get(id);
      if (member && !this.suspectedIds.has(id)) return member;
    }
    return this.ownMember;
  }

  /**
   * Members that are not suspected, to keep copies of a key in this order: first
   * the highest ranked of each zone, since a zone may be lost at once.
   */
  holdersOf(key: string): GatewayMember[] {
    const ranked = this.rankedIds(key)
      .filter(id => !this.suspectedIds.has(id))
      .flatMap(id => this.members.get(id) ?? []);
    const zones = new Set<string>();
    const firstOfZone = ranked.filter(({zone}) => {
      const isFirst = !zones.has(zone);
      zones.add(zone);
      return isFirst;
    });
    return [...new Set([...firstOfZone, ...ranked])];
  }

  /** Whether the given member is this process. */
  isSelf(member: GatewayMember): boolean {
    return member.id === this.ownMember.id;
  }

  /** Whether this member owns a key. */
  isOwnerOf(key: string): boolean {
    return this.isSelf(this.ownerOf(key));
  }

  private rankedIds(key: string): string[] {
    const cached = this.rankedIdsByKey.get(key);
    if (cached) return cached;
    const ids = this.allMembers.filter(m => !m.isLeaving).map(m => m.id);
    const ranked = rankMembers(ids, key);
    this.rankedIdsByKey.set(key, ranked);
    return ranked;
  }

  private notifyChange(): void {
    for (const listener of this.changeListeners) listener();
  }
}
