const BUCKET_MS = 25;

/**
 * Items in buckets by their deadline in milliseconds, so that the search for
 * expired ones does not visit the others.
 */
export class DeadlineBuckets<T> {
  private readonly buckets = new Map<number, Set<T>>();
  /** Index of the first bucket that may hold items; null if there is none. */
  private firstIndex: number | null = null;

  /** Adds an item to the bucket of its deadline. */
  add(item: T, deadlineAtMs: number): void {
    const index = Math.floor(deadlineAtMs / BUCKET_MS);
    const bucket = this.buckets.get(index) ?? new Set<T>();
    bucket.add(item);
    this.buckets.set(index, bucket);
    this.firstIndex = Math.min(this.firstIndex ?? index, index);
  }

  /** Removes an item; the deadline must be the one it was added with. */
  remove(item: T, deadlineAtMs: number): void {
    const index = Math.floor(deadlineAtMs / BUCKET_MS);
    const bucket = this.buckets.get(index);
    bucket?.delete(item);
    if (bucket?.size === 0) this.buckets.delete(index);
  }

  /** Items past their deadline; reported late by at most one bucket. */
  expired(nowMs: number): T[] {
    if (this.buckets.size === 0) {
      this.firstIndex = null;
      return [];
    }
    const items: T[] = [];
    const end = Math.floor(nowMs / BUCKET_MS);
    for (let index = this.firstIndex ?? end; index < end; index++) {
      const bucket = this.buckets.get(index);
      if (bucket) items.push(...bucket);
      else this.firstIndex = index + 1;
    }
    return items;
  }
}
