import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {findCrashCause} from './crash_cause.js';
import type {UpstreamDeath} from './types.js';

const SEED = 20_261_204;

/** Deaths one second apart; each lists the prompts in flight, as `a,b,c`. */
function deathsOf(...prompts: string[][]): UpstreamDeath[] {
  return prompts.map((texts, i) => ({
    upstreamId: `i-${i}`,
    atMs: 1_000 * i,
    suspects: texts.map(text => ({content: text, parts: text.split(',')})),
  }));
}

describe('findCrashCause', () => {
  it('finds the part that requests of different contents share', () => {
    const deaths = deathsOf(['x,bad,1'], ['y,bad,2'], ['z,bad,3']);
    expect(findCrashCause(deaths)).toBe('bad');
  });

  describe('blames nothing', () => {
    it('after two deaths', () => {
      expect(findCrashCause(deathsOf(['bad,1'], ['bad,2']))).toBeNull();
    });

    it('for repeats of one request', () => {
      const deaths = deathsOf(['a,b,1'], ['a,b,1'], ['a,b,1']);
      expect(findCrashCause(deaths)).toBeNull();
    });

    it('for upstreams that die together', () => {
      const deaths = deathsOf(['a,1'], ['a,2'], ['a,3'], ['a,4']);
      const together = deaths.map((death, i) => ({...death, atMs: 20 * i}));
      expect(findCrashCause(together)).toBeNull();
    });

    it('if no part was in flight in several deaths', () => {
      expect(findCrashCause(deathsOf(['a,1'], ['b,2'], ['c,3']))).toBeNull();
    });
  });

  describe('parts that sound requests share with the cause', () => {
    it('yield to a later part that explains the same deaths', () => {
      const deaths = deathsOf(
        ['first,bad,1'],
        ['first,bad,2'],
        ['first,bad,3'],
      );
      expect(findCrashCause(deaths)).toBe('bad');
    });

    it('yield although one more death has them', () => {
      const deaths = deathsOf(
        ['first,5'],
        ['first,bad,1'],
        ['first,bad,2'],
        ['first,bad,3'],
      );
      expect(findCrashCause(deaths)).toBe('bad');
    });

    it('are not blamed while a later part lacks one death', () => {
      const deaths = deathsOf(['first,5'], ['first,bad,1'], ['first,bad,2']);
      expect(findCrashCause(deaths)).toBeNull();
    });

    it('are blamed once deaths occur without the later part', () => {
      const deaths = deathsOf(
        ['bad,late,1'],
        ['bad,late,2'],
        ['bad,3'],
        ['bad,4'],
      );
      expect(findCrashCause(deaths)).toBe('bad');
    });
  });

  it('finds the cause among other requests in flight', () => {
    const part = fc.integer({min: 0, max: 40}).map(n => `p${n}`);
    const bystander = fc.tuple(part, fc.uuid()).map(ids => ids.join(','));
    const death = fc.tuple(part, fc.array(bystander, {maxLength: 3}));
    fc.assert(
      fc.property(fc.array(death, {minLength: 7, maxLength: 12}), drawn => {
        const prompts = drawn.map(([first, others], i) => [
          `${first},bad,own${i}`,
          ...others,
        ]);
        expect(findCrashCause(deathsOf(...prompts))).toBe('bad');
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});
