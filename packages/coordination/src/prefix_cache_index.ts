import {PREFIX_BLOCK_TOKENS} from './constants.js';

/**
 * Estimate of the prefix blocks in one upstream's cache: an LRU of the blocks
 * sent there, bounded by the cache size and corrected by the upstream's
 * eviction reports.
 */
export class PrefixCacheIndex {
  /** Block hashes, the least recently used first. */
  private readonly blocks = new Map<string, true>();
  private readonly maxBlocks: number;

  constructor(cacheTokens: number) {
    this.maxBlocks = Math.floor(cacheTokens / PREFIX_BLOCK_TOKENS);
  }

  /** Number of blocks assumed to be cached. */
  get size(): number {
    return this.blocks.size;
  }

  /** Tokens of the longest cached prefix of a prompt. */
  cachedTokens(hashes: readonly string[]): number {
    let matched = 0;
    while (matched < hashes.length && this.blocks.has(hashes[matched]!)) {
      matched++;
    }
    return matched * PREFIX_BLOCK_TOKENS;
  }

  /** Tokens that inserting a prompt would evict. */
  evictedTokens(hashes: readonly string[]): number {
    if (this.maxBlocks === 0) return 0;
    const added =
      hashes.length - this.cachedTokens(hashes) / PREFIX_BLOCK_TOKENS;
    const free = this.maxBlocks - this.blocks.size;
    return (
      Math.max(0, Math.min(added, this.maxBlocks) - free) * PREFIX_BLOCK_TOKENS
    );
  }

  /** Records a prompt that was sent, and drops what exceeds the cache. */
  insert(hashes: readonly string[]): void {
    // The first block becomes the most recently used one, since an engine
    // evicts the end of a prefix before its beginning.
    for (let i = hashes.length - 1; i >= 0; i--) {
      this.blocks.delete(hashes[i]!);
      this.blocks.set(hashes[i]!, true);
    }
    while (this.blocks.size > this.maxBlocks) {
      const oldest = this.blocks.keys().next().value;
      if (oldest === undefined) return;
      this.blocks.delete(oldest);
    }
  }

  /** Removes blocks that the upstream reported as evicted. */
  evict(hashes: readonly string[]): void {
    for (const hash of hashes) this.blocks.delete(hash);
  }

  /** Removes all blocks, after a restart of the upstream. */
  clear(): void {
    this.blocks.clear();
  }
}
