// What an engine has cached of a prompt, and what a newcomer would evict.
import {
  hashPrefixBlocks,
  PREFIX_BLOCK_TOKENS,
  PrefixMap,
} from '@fescuespool/coordination';

const map = new PrefixMap(8 * PREFIX_BLOCK_TOKENS);
const history = 'sharpened in March; '.repeat(200);
map.insert(hashPrefixBlocks(history));
const longer = hashPrefixBlocks(`${history}what next? `.repeat(2));
console.log(`${map.cachedTokens(longer)} tokens are cached`);
console.log(`${map.evictedTokens(longer)} tokens would be evicted`);
