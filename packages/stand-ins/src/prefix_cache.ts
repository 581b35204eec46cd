import {PREFIX_BLOCK_TOKENS} from '@fescuespool/coordination';
import {LRUCache} from 'lru-cache';

/** LRU cache of prompt prefix blocks, with a capacity in tokens. */
export class PrefixCache {
  private readonly blocks: LRUCache<string, true> | null;
  private evicted: string[] = [];

  constructor(
    cacheTokens: number,
    /** Decides for each eviction whether its event is lost. */
    private readonly isEventLost: () => boolean,
  ) {
    const max = Math.floor(cacheTokens / PREFIX_BLOCK_TOKENS);
    this.blocks =
      max > 0
        ? new LRUCache<string, true>({
            max,
            dispose: (_value, hash, reason) => {
              if (reason === 'evict' && !this.isEventLost()) {
                this.evicted.push(hash);
              }
            },
          })
        : null;
  }

  /**
   * Inserts the blocks of a prompt; returns the number of tokens in its longest
   * prefix that was cached before.
   */
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

  /** Returns the hashes evicted since the last call, except for lost events. */
  takeEvicted(): string[] {
    const {evicted} = this;
    this.evicted = [];
    return evicted;
  }
}
