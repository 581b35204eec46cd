import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PREFIX_BLOCK_CHARS, PREFIX_BLOCK_TOKENS} from './constants.js';
import {hashPrefixBlocks} from './prefix_blocks.js';
import {PrefixCacheIndex} from './prefix_cache_index.js';

const BLOCKS = 8;

/** Counterexamples print it; change it to explore. */
const SEED = 20_261_204;

describe('PrefixMap', () => {
  it('stays in its bound and forgets the end of a prefix first', () => {
    const prompt = fc.array(fc.integer({min: 0, max: 3}), {maxLength: 6});
    fc.assert(
      fc.property(fc.array(prompt, {maxLength: 30}), prompts => {
        const map = new PrefixCacheIndex(BLOCKS * PREFIX_BLOCK_TOKENS);
        for (const blocks of prompts) {
          const hashes = blocks.map((_, i) => blocks.slice(0, i + 1).join('-'));
          const evicted = map.evictedTokens(hashes) / PREFIX_BLOCK_TOKENS;
          const before = map.size;
          const cached = map.cachedTokens(hashes) / PREFIX_BLOCK_TOKENS;
          map.insert(hashes);
          expect(map.size).toBeLessThanOrEqual(BLOCKS);
          expect(
            before + hashes.length - cached - evicted,
          ).toBeGreaterThanOrEqual(map.size - hashes.length);
          expect(map.cachedTokens(hashes)).toBe(
            hashes.length * PREFIX_BLOCK_TOKENS,
          );
        }
      }),
      {seed: SEED},
    );
  });

  it('matches equal prefixes only', () => {
    const map = new PrefixCacheIndex(64 * PREFIX_BLOCK_TOKENS);
    const text = 'a'.repeat(PREFIX_BLOCK_CHARS * 3);
    map.insert(hashPrefixBlocks(text));
    const other = `${text.slice(0, PREFIX_BLOCK_CHARS * 2)}${'b'.repeat(PREFIX_BLOCK_CHARS)}`;
    expect(map.cachedTokens(hashPrefixBlocks(other))).toBe(
      2 * PREFIX_BLOCK_TOKENS,
    );
    const shifted = `b${text}`;
    expect(map.cachedTokens(hashPrefixBlocks(shifted))).toBe(0);
  });
});
