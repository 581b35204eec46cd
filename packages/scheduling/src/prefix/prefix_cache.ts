/** How a cache reads the id and the length of a part of a prompt. */
export interface PartReader<Part> {
  readonly idOf: (part: Part) => string;
  readonly tokensOf: (part: Part) => number;
}

/**
 * Estimate of the parts of prompts in one upstream's cache: an LRU of what it
 * has read, bounded by the size of the cache. A part counts only with all parts
 * before it.
 */
export class PrefixCache<Part> {
  /** Tokens by the id of their part, the least recently used first. */
  private readonly parts = new Map<string, number>();
  private usedTokens = 0;

  /** At most `maxTokens` tokens and `maxParts` parts are assumed to be cached. */
  constructor(
    private readonly reader: PartReader<Part>,
    private maxTokens: number,
    private readonly maxParts = Infinity,
  ) {}

  /** Number of parts assumed to be cached. */
  get size(): number {
    return this.parts.size;
  }

  /** Tokens of the longest cached prefix of a prompt. */
  cachedTokens(prompt: readonly Part[]): number {
    let cached = 0;
    for (const part of prompt) {
      const tokens = this.reader.tokensOf(part);
      if (this.parts.get(this.reader.idOf(part)) !== tokens) break;
      cached += tokens;
    }
    return cached;
  }

  /** Tokens that inserting a prompt would evict. */
  evictedTokens(prompt: readonly Part[]): number {
    let added = -this.cachedTokens(prompt);
    for (const part of prompt) added += this.reader.tokensOf(part);
    const free = this.maxTokens - this.usedTokens;
    return Math.max(0, Math.min(added, this.maxTokens) - free);
  }

  /** Records a prompt that was read, and drops what exceeds the cache. */
  insert(prompt: readonly Part[]): void {
    // The first part becomes the most recently used one, since an engine
    // evicts the end of a prefix before its beginning.
    for (const part of prompt.toReversed()) {
      const id = this.reader.idOf(part);
      const tokens = this.reader.tokensOf(part);
      this.remove(id);
      this.parts.set(id, tokens);
      this.usedTokens += tokens;
    }
    this.dropExcess();
  }

  /** Sets the size of the cache in tokens, and drops what exceeds it. */
  resize(maxTokens: number): void {
    this.maxTokens = maxTokens;
    this.dropExcess();
  }

  /** Removes parts that the upstream has evicted. */
  evict(ids: readonly string[]): void {
    for (const id of ids) this.remove(id);
  }

  /** Removes the parts of a prompt and all that were not used since. */
  evictUpTo(prompt: readonly Part[]): void {
    const last = prompt.find(part => this.parts.has(this.reader.idOf(part)));
    if (last === undefined) return;
    const lastId = this.reader.idOf(last);
    for (const id of this.parts.keys()) {
      this.remove(id);
      if (id === lastId) return;
    }
  }

  /** Removes all parts, after a restart of the upstream. */
  clear(): void {
    this.parts.clear();
    this.usedTokens = 0;
  }

  private remove(id: string): void {
    this.usedTokens -= this.parts.get(id) ?? 0;
    this.parts.delete(id);
  }

  private dropExcess(): void {
    for (const id of this.parts.keys()) {
      const isWithin =
        this.usedTokens <= this.maxTokens && this.parts.size <= this.maxParts;
      if (isWithin) return;
      this.remove(id);
    }
  }
}
