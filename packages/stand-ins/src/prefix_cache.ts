import {PREFIX_BLOCK_TOKENS} from '@fescuespool/coordination';
import {LRUCache} from 'lru-cache';

/** Prefix cache of an emulated engine, bounded in tokens. */
export class PrefixCache {
  private readonly blocks: LRUCache<string, true> | null;
  private evicted: string[] = [];

  constructor(
    cacheTokens: number,
    /** Share of eviction events that are lost. */
    private readonly eventLoss: () => boolean,
  ) {
    const max = Math.floor(cacheTokens / PREFIX_BLOCK_TOKENS);
    this.blocks =
      max > 0
        ? new LRUCache<string, true>({
            max,
            dispose: (_value, hash, reason) => {
              if (reason === 'evict' && !this.eventLoss()) {
                this.evicted.push(hash);
              }
            },
          })
        : null;
  }

  /** Uses a prompt's blocks; returns the tokens that were cached. */
  lookUpAndInsert(hashes: readonly string[]): number {
    if (!this.blocks) return 0;
    let matched = 0;
    while (matched < hashes.length && this.blocks.has(hashes[matched]!)) {
      matched++;
    }
    for (let i = hashes.length - 1; i >= 0; i--)
      this.blocks.set(hashes[i]!, true);
    return matched * PREFIX_BLOCK_TOKENS;
  }

  /** Evictions since the last call. */
  takeEvicted(): string[] {
    const {evicted} = this;
    this.evicted = [];
    return evicted;
  }
}
