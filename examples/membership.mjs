// Three members that start with a single seed discover one another by gossip.
// Probes are delivered by direct calls in place of a network.
import {MEMBER_STATE, Membership} from '@fescuespool/coordination';
import {SYSTEM_CLOCK} from '@fescuespool/common';

const nodes = new Map();
for (const id of ['a', 'b', 'c']) {
  const self = {
    id,
    zone: 'zone-a',
    address: `${id}:7082`,
    incarnation: 1,
    state: MEMBER_STATE.ALIVE,
  };
  const node = new Membership({
    self,
    clock: SYSTEM_CLOCK,
    versions: () => ({config: 0, vms: 0}),
    sendProbe: async (member, message) =>
      nodes.get(member.id)?.handleProbe(message) ?? null,
    requestIndirectProbe: async (helper, target) =>
      nodes.get(helper.id)?.probeForPeer(target) ?? false,
    onNewerVersions: () => undefined,
    onChange: () => undefined,
  });
  const seed = nodes.get('a');
  if (seed) node.addSeeds([seed.localMember]);
  nodes.set(id, node);
}
for (let round = 0; round < 3; round++) {
  for (const node of nodes.values()) await node.runProbeRound();
}
for (const [id, node] of nodes) console.log(id, 'reaches', node.eligibleIds());
