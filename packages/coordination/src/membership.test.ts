import {describe, expect, it} from 'vitest';
import {MEMBER_STATE} from './constants.js';
import {Membership} from './membership.js';
import type {Member} from './types.js';

const SIZE = 12;

/** Members that probe one another in memory, on a clock that tests advance. */
class Group {
  readonly cut = new Set<string>();
  readonly nodes = new Map<string, Membership>();
  private nowMs = 0;

  constructor(ids: readonly string[]) {
    for (const id of ids) this.add(id, 1);
  }

  add(id: string, incarnation: number): void {
    const self: Member = {
      id,
      zone: 'a',
      address: `${id}:1`,
      incarnation,
      state: MEMBER_STATE.ALIVE,
    };
    const node = new Membership({
      self,
      clock: {monotonicMs: () => this.nowMs, wallMs: () => 0},
      versions: () => ({config: 1, vms: 1}),
      sendProbe: async (member, message) => {
        const target = this.nodes.get(member.id);
        const isCut =
          this.cut.has(`${id}>${member.id}`) ||
          this.cut.has(id) ||
          this.cut.has(member.id);
        return target && !isCut ? target.handleProbe(message) : null;
      },
      requestIndirectProbe: async (helper, target) => {
        const isCut = this.cut.has(helper.id) || this.cut.has(id);
        const other = this.nodes.get(helper.id);
        return !isCut && other !== undefined && other.probeForPeer(target);
      },
      onNewerVersions: () => undefined,
      onChange: () => undefined,
    });
    const [first] = this.nodes.values();
    if (first) node.addSeeds([{...first.localMember, incarnation: 0}]);
    this.nodes.set(id, node);
  }

  async rounds(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this.nowMs += 400;
      const nodes = [...this.nodes.values()];
      await Promise.all(nodes.map(node => node.runProbeRound()));
    }
  }

  viewOf(id: string): string[] {
    return this.nodes.get(id)!.eligibleIds();
  }
}

describe('Membership', () => {
  const ids = Array.from(
    {length: SIZE},
    (_, i) => `m${String(i).padStart(2, '0')}`,
  );

  it('lets everyone find everyone from one seed', async () => {
    const group = new Group(ids);
    await group.rounds(12);
    for (const id of ids) expect(group.viewOf(id)).toEqual(ids);
  });

  it('removes a dead member everywhere and takes it back', async () => {
    const group = new Group(ids);
    await group.rounds(12);
    group.cut.add('m03');
    await group.rounds(12);
    const rest = ids.filter(id => id !== 'm03');
    for (const id of rest) expect(group.viewOf(id)).toEqual(rest);
    group.cut.clear();
    await group.rounds(20);
    for (const id of ids) expect(group.viewOf(id)).toEqual(ids);
  });

  it('keeps a member that only one other can not reach', async () => {
    const group = new Group(ids);
    await group.rounds(12);
    const {incarnation} = group.nodes.get('m02')!.localMember;
    group.cut.add('m01>m02');
    for (let round = 0; round < 12; round++) {
      await group.rounds(1);
      for (const id of ids.filter(other => other !== 'm01')) {
        expect(group.viewOf(id)).toContain('m02');
      }
    }
    expect(group.viewOf('m01')).not.toContain('m02');
    // Nobody doubted it, so it had nothing to refute.
    expect(group.nodes.get('m02')!.localMember.incarnation).toBe(incarnation);
  });

  it('takes back a member that restarts with a lower incarnation', async () => {
    const group = new Group(ids);
    await group.rounds(12);
    group.nodes.delete('m05');
    await group.rounds(12);
    group.add('m05', 0);
    await group.rounds(20);
    for (const id of ids) expect(group.viewOf(id)).toEqual(ids);
  });

  it('does not offer a leaving member', async () => {
    const group = new Group(ids);
    await group.rounds(12);
    group.nodes.get('m04')!.leave();
    await group.rounds(12);
    for (const id of ids) expect(group.viewOf(id)).not.toContain('m04');
  });
});
