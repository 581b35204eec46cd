import {PREFIX_BLOCK_TOKENS} from './constants.js';

/**
 * Record of the prefix blocks that one upstream holds: what was sent there,
 * in order of last use, bounded by its memory and corrected by its events.
 */
export class PrefixCacheIndex {
  /** Blocks in order of last use, the oldest first. */
  private readonly blocks = new Map<string, true>();
  private readonly maxBlocks: number;

  constructor(cacheTokens: number) {
    this.maxBlocks = Math.floor(cacheTokens / PREFIX_BLOCK_TOKENS);
  }

  /** Number of blocks recorded. */
  get size(): number {
    return this.blocks.size;
  }

  /** Tokens of the longest recorded prefix of a prompt. */
  cachedTokens(hashes: readonly string[]): number {
    let matched = 0;
    while (matched < hashes.length && this.blocks.has(hashes[matched]!)) {
      matched++;
    }
    return matched * PREFIX_BLOCK_TOKENS;
  }

  /** Tokens that a prompt would evict on its arrival. */
  evictedTokens(hashes: readonly string[]): number {
    if (this.maxBlocks === 0) return 0;
    const added =
      hashes.length - this.cachedTokens(hashes) / PREFIX_BLOCK_TOKENS;
    const free = this.maxBlocks - this.blocks.size;
    return (
      Math.max(0, Math.min(added, this.maxBlocks) - free) * PREFIX_BLOCK_TOKENS
    );
  }

  /** Records that a prompt was sent. */
  insert(hashes: readonly string[]): void {
    // The first block is the most recently used one: an engine evicts the end
    // of a prefix before its beginning.
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

  /** Removes blocks that the upstream has evicted. */
  evict(hashes: readonly string[]): void {
    for (const hash of hashes) this.blocks.delete(hash);
  }

  /** Forgets everything, after a restart of the upstream. */
  clear(): void {
    this.blocks.clear();
  }
}
