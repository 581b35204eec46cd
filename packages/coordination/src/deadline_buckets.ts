const BUCKET_MS = 25;

/**
 * Items by their deadline in milliseconds, so that finding the expired ones does
 * not look at those that have time.
 */
export class DeadlineBuckets<T> {
  private readonly buckets = new Map<number, Set<T>>();
  /** First bucket that may hold items. */
  private firstIndex: number | null = null;

  /** Adds an item. */
  add(item: T, deadlineAtMs: number): void {
    const index = Math.floor(deadlineAtMs / BUCKET_MS);
    const bucket = this.buckets.get(index) ?? new Set<T>();
    bucket.add(item);
    this.buckets.set(index, bucket);
    this.firstIndex = Math.min(this.firstIndex ?? index, index);
  }

  /** Removes an item. */
  remove(item: T, deadlineAtMs: number): void {
    const index = Math.floor(deadlineAtMs / BUCKET_MS);
    const bucket = this.buckets.get(index);
    bucket?.delete(item);
    if (bucket?.size === 0) this.buckets.delete(index);
  }

  /** Items whose deadline has passed, at most a bucket too late. */
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
