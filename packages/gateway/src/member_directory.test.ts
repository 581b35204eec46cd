import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MemberDirectory} from './member_directory.js';
import type {GatewayMember} from './types.js';

function member(id: string, zone: string): GatewayMember {
  return {
    id,
    zone,
    address: '127.0.0.1:1',
    isLeaving: false,
    tunnelAddress: null,
  };
}

describe('MemberDirectory', () => {
  describe('holdersOf', () => {
    it('are the same at all members, and of different zones first', () => {
      const zones = fc.constantFrom('a', 'b', 'c');
      fc.assert(
        fc.property(
          fc.array(zones, {minLength: 2, maxLength: 40}),
          fc.string(),
          (zoneOf, key) => {
            const all = zoneOf.map((zone, i) => member(`m${i}`, zone));
            const [first, ...rest] = all.map(own => {
              const directory = new MemberDirectory(own);
              directory.setMembers(all);
              return directory.holdersOf(key);
            });
            for (const holders of rest) expect(holders).toEqual(first);
            const zoneCount = new Set(zoneOf).size;
            const firstZones = first!.slice(0, zoneCount).map(m => m.zone);
            expect(new Set(firstZones).size).toBe(zoneCount);
            expect(new Set(first)).toEqual(new Set(all));
          },
        ),
        {seed: 20261204, numRuns: 100},
      );
    });

    it('leave out suspected members', () => {
      const own = member('a', 'z');
      const directory = new MemberDirectory(own);
      directory.setMembers([own, member('b', 'z')]);
      directory.markSuspected('b');
      expect(directory.holdersOf('key')).toEqual([own]);
    });
  });
});
