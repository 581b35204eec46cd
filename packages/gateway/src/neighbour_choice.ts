import {MAX_TUNNEL_ATTEMPTS} from './constants.js';
import type {GatewayMember} from './types.js';

/**
 * The members to ask for a tunnel, in this order: one of the own zone first, as
 * it is near, then one of each other zone, since a whole zone may have lost its
 * paths, then the rest. `random` returns numbers from 0 up to 1.
 */
export function chooseNeighbours(
  available: readonly GatewayMember[],
  ownZone: string,
  random: () => number,
): GatewayMember[] {
  const drawn = available
    .map(member => ({member, draw: random()}))
    .sort((a, b) => a.draw - b.draw)
    .map(({member}) => member);
  const first = drawn.find(({zone}) => zone === ownZone) ?? drawn[0];
  if (!first) return [];
  const zones = new Set([first.zone]);
  const others = drawn.filter(member => member !== first);
  const firstOfZones = others.filter(({zone}) => {
    const isFirst = !zones.has(zone);
    zones.add(zone);
    return isFirst;
  });
  const ordered = new Set([first, ...firstOfZones, ...others]);
  return [...ordered].slice(0, MAX_TUNNEL_ATTEMPTS);
}
