// Estimates how many tokens of a prompt an engine has in its prefix cache, and
// how many cached tokens it would evict to run the prompt.
import {
  hashPrefixBlocks,
  PREFIX_BLOCK_TOKENS,
  PrefixCacheIndex,
} from '@fescuespool/coordination';

const cacheIndex = new PrefixCacheIndex(8 * PREFIX_BLOCK_TOKENS);
const history = 'sharpened in March; '.repeat(200);
cacheIndex.insert(hashPrefixBlocks(history));
const longer = hashPrefixBlocks(`${history}what next? `.repeat(2));
console.log(`${cacheIndex.cachedTokens(longer)} tokens are cached`);
console.log(`${cacheIndex.evictedTokens(longer)} tokens would be evicted`);
