import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ownerOf, rankMembers} from './rendezvous.js';

const MEMBERS = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,6}$/), {
  minLength: 2,
  maxLength: 12,
});

/** Seed of the property tests; change it to explore other inputs. */
const SEED = 20_261_204;

describe('rendezvous', () => {
  describe('rankMembers', () => {
    it('ranks members independently of their order', () => {
      fc.assert(
        fc.property(MEMBERS, fc.string(), (members, key) => {
          const reversed = [...members].reverse();
          expect(rankMembers(reversed, key)).toEqual(rankMembers(members, key));
        }),
        {seed: SEED},
      );
    });
  });

  describe('ownerOf', () => {
    it('keeps the owner of a key when another member leaves', () => {
      fc.assert(
        fc.property(MEMBERS, fc.string(), (members, key) => {
          const owner = ownerOf(members, key);
          const leaver = members.find(id => id !== owner)!;
          const rest = members.filter(id => id !== leaver);
          expect(ownerOf(rest, key)).toBe(owner);
        }),
        {seed: SEED},
      );
    });

    it('returns null without members', () => {
      expect(ownerOf([], 'key')).toBeNull();
    });
  });
});
