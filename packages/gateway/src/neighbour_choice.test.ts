import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MAX_TUNNEL_ATTEMPTS} from './constants.js';
import {chooseNeighbours} from './neighbour_choice.js';
import type {GatewayMember} from './types.js';

function member(id: string, zone: string): GatewayMember {
  const address = '127.0.0.1:1';
  return {id, zone, address, isLeaving: false, tunnelAddress: address};
}

describe('chooseNeighbours', () => {
  it('asks one of the own zone first, then one of each other zone', () => {
    const zones = fc.array(fc.constantFrom('a', 'b', 'c'), {maxLength: 12});
    fc.assert(
      fc.property(
        zones,
        fc.infiniteStream(fc.double({min: 0, max: 0.99})),
        (zoneList, draws) => {
          const members = zoneList.map((zone, i) => member(`m${i}`, zone));
          const random = (): number => draws.next().value as number;
          const chosen = chooseNeighbours(members, 'a', random);
          expect(new Set(chosen).size).toBe(chosen.length);
          expect(chosen.length).toBe(
            Math.min(MAX_TUNNEL_ATTEMPTS, members.length),
          );
          if (zoneList.includes('a')) expect(chosen[0]?.zone).toBe('a');
          const zoneCount = new Set(zoneList).size;
          const firstZones = chosen.slice(0, zoneCount).map(({zone}) => zone);
          expect(new Set(firstZones).size).toBe(firstZones.length);
        },
      ),
    );
  });
});
