// Three members find one another from one seed, in memory.
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
      nodes.get(member.id)?.receive(message) ?? null,
    askHelper: async (helper, target) =>
      nodes.get(helper.id)?.reaches(target) ?? false,
    onNewer: () => undefined,
    onChange: () => undefined,
  });
  const seed = nodes.get('a');
  if (seed) node.addSeeds([seed.me]);
  nodes.set(id, node);
}
for (let round = 0; round < 3; round++) {
  for (const node of nodes.values()) await node.probeRound();
}
for (const [id, node] of nodes) console.log(id, 'sees', node.candidates());
