import {PrefixCache} from '@fescuespool/scheduling';
import {PREFIX_BLOCK_TOKENS} from './constants.js';

const BLOCK_READER = {
  idOf: (hash: string) => hash,
  tokensOf: () => PREFIX_BLOCK_TOKENS,
};

/**
 * Estimate of the prefix blocks in one upstream's cache, by their hashes, which
 * the upstream's eviction reports correct.
 */
export class PrefixCacheIndex extends PrefixCache<string> {
  constructor(cacheTokens: number) {
    super(BLOCK_READER, cacheTokens - (cacheTokens % PREFIX_BLOCK_TOKENS));
  }
}
