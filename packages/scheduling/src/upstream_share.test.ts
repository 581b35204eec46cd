import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {shareOfMembers} from './upstream_share.js';

const PARTS = fc.integer({min: 0, max: 40});

describe('shareOfMembers', () => {
  it('gives each slot and rejection to one of the owners that know of no other', () => {
    fc.assert(
      fc.property(
        PARTS,
        PARTS,
        fc.array(fc.integer({min: 0, max: 5}), {minLength: 1, maxLength: 77}),
        (slots, rejections, ownerByMember) => {
          const members = ownerByMember.map((_, i) => `m-${i}`);
          const shares = [...new Set(ownerByMember)].map(owner =>
            shareOfMembers(
              {slots, rejections},
              members,
              id => ownerByMember[members.indexOf(id)] === owner,
            ),
          );
          const sum = (part: 'slots' | 'rejections'): number =>
            shares.reduce((total, share) => total + share[part], 0);
          expect([sum('slots'), sum('rejections')]).toEqual([
            slots,
            rejections,
          ]);
        },
      ),
    );
  });

  it('leaves the whole to an owner without members', () => {
    const whole = {slots: 4, rejections: 1};
    expect(shareOfMembers(whole, [], () => false)).toEqual(whole);
  });
});
