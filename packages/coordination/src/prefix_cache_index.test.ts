import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PREFIX_BLOCK_CHARS, PREFIX_BLOCK_TOKENS} from './constants.js';
import {hashPrefixBlocks} from './prefix_blocks.js';
import {PrefixCacheIndex} from './prefix_cache_index.js';

const BLOCKS = 8;

/** Seed of the property tests; change it to explore other inputs. */
const SEED = 20_261_204;

describe('PrefixCacheIndex', () => {
  it('stays within its capacity and keeps the blocks inserted last', () => {
    const prompt = fc.array(fc.integer({min: 0, max: 3}), {maxLength: 6});
    fc.assert(
      fc.property(fc.array(prompt, {maxLength: 30}), prompts => {
        const index = new PrefixCacheIndex(BLOCKS * PREFIX_BLOCK_TOKENS);
        for (const blocks of prompts) {
          const hashes = blocks.map((_, i) => blocks.slice(0, i + 1).join('-'));
          const evicted = index.evictedTokens(hashes) / PREFIX_BLOCK_TOKENS;
          const before = index.size;
          const cached = index.cachedTokens(hashes) / PREFIX_BLOCK_TOKENS;
          index.insert(hashes);
          expect(index.size).toBeLessThanOrEqual(BLOCKS);
          expect(
            before + hashes.length - cached - evicted,
          ).toBeGreaterThanOrEqual(index.size - hashes.length);
          expect(index.cachedTokens(hashes)).toBe(
            hashes.length * PREFIX_BLOCK_TOKENS,
          );
        }
      }),
      {seed: SEED},
    );
  });

  it('counts only the blocks of an equal prefix as cached', () => {
    const index = new PrefixCacheIndex(64 * PREFIX_BLOCK_TOKENS);
    const text = 'a'.repeat(PREFIX_BLOCK_CHARS * 3);
    index.insert(hashPrefixBlocks(text));
    const other = `${text.slice(0, PREFIX_BLOCK_CHARS * 2)}${'b'.repeat(PREFIX_BLOCK_CHARS)}`;
    expect(index.cachedTokens(hashPrefixBlocks(other))).toBe(
      2 * PREFIX_BLOCK_TOKENS,
    );
    const shifted = `b${text}`;
    expect(index.cachedTokens(hashPrefixBlocks(shifted))).toBe(0);
  });
});
