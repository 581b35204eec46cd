import {describe, expect, it} from 'vitest';
import {MEMBER_STATE} from './constants.js';
import {Membership} from './membership.js';
import type {Member} from './types.js';

const SIZE = 12;

/** Members that probe one another in memory, on a simulated clock. */
class SimulatedCluster {
  /** Directed links as `from>to`, or ids of members without any link. */
  readonly brokenLinks = new Set<string>();
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
      versions: () => ({config: 1, vms: 1, storeEpoch: 0}),
      sendProbe: async (member, message) => {
        const target = this.nodes.get(member.id);
        const isBroken =
          this.brokenLinks.has(`${id}>${member.id}`) ||
          this.brokenLinks.has(id) ||
          this.brokenLinks.has(member.id);
        return target && !isBroken ? target.handleProbe(message) : null;
      },
      requestIndirectProbe: async (helper, target) => {
        const isBroken =
          this.brokenLinks.has(helper.id) || this.brokenLinks.has(id);
        const other = this.nodes.get(helper.id);
        return !isBroken && other !== undefined && other.probeForPeer(target);
      },
      onNewerVersions: () => undefined,
      onChange: () => undefined,
    });
    const [first] = this.nodes.values();
    if (first) node.addSeeds([{...first.localMember, incarnation: 0}]);
    this.nodes.set(id, node);
  }

  async runRounds(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this.nowMs += 400;
      const nodes = [...this.nodes.values()];
      await Promise.all(nodes.map(node => node.runProbeRound()));
    }
  }

  eligibleIdsOf(id: string): string[] {
    return this.nodes.get(id)!.eligibleIds();
  }
}

describe('Membership', () => {
  const ids = Array.from(
    {length: SIZE},
    (_, i) => `m${String(i).padStart(2, '0')}`,
  );

  it('discovers all members from a single seed', async () => {
    const cluster = new SimulatedCluster(ids);
    await cluster.runRounds(12);
    for (const id of ids) expect(cluster.eligibleIdsOf(id)).toEqual(ids);
  });

  it('removes an unreachable member everywhere and readmits it', async () => {
    const cluster = new SimulatedCluster(ids);
    await cluster.runRounds(12);
    cluster.brokenLinks.add('m03');
    await cluster.runRounds(12);
    const rest = ids.filter(id => id !== 'm03');
    for (const id of rest) expect(cluster.eligibleIdsOf(id)).toEqual(rest);
    cluster.brokenLinks.clear();
    await cluster.runRounds(20);
    for (const id of ids) expect(cluster.eligibleIdsOf(id)).toEqual(ids);
  });

  it('keeps a member that only one other member cannot reach', async () => {
    const cluster = new SimulatedCluster(ids);
    await cluster.runRounds(12);
    const {incarnation} = cluster.nodes.get('m02')!.localMember;
    cluster.brokenLinks.add('m01>m02');
    for (let round = 0; round < 12; round++) {
      await cluster.runRounds(1);
      for (const id of ids.filter(other => other !== 'm01')) {
        expect(cluster.eligibleIdsOf(id)).toContain('m02');
      }
    }
    expect(cluster.eligibleIdsOf('m01')).not.toContain('m02');
    // No member suspected it, so it had no suspicion to refute.
    expect(cluster.nodes.get('m02')!.localMember.incarnation).toBe(incarnation);
  });

  it('readmits a member that restarts with a lower incarnation', async () => {
    const cluster = new SimulatedCluster(ids);
    await cluster.runRounds(12);
    cluster.nodes.delete('m05');
    await cluster.runRounds(12);
    cluster.add('m05', 0);
    await cluster.runRounds(20);
    for (const id of ids) expect(cluster.eligibleIdsOf(id)).toEqual(ids);
  });

  it('excludes a leaving member from the eligible ids', async () => {
    const cluster = new SimulatedCluster(ids);
    await cluster.runRounds(12);
    cluster.nodes.get('m04')!.leave();
    await cluster.runRounds(12);
    for (const id of ids)
      expect(cluster.eligibleIdsOf(id)).not.toContain('m04');
  });
});
