import {STREAM_ORIGIN_TTL_MS} from './stream_constants.js';

/** Lists of names by key. */
export type NameLists<T> = ReadonlyMap<string, readonly T[]>;

/** All names that either of two lists has. */
export function mergeLists<T>(
  first: NameLists<T>,
  second: NameLists<T>,
): NameLists<T> {
  const merged = new Map(first);
  for (const [key, names] of second) {
    merged.set(key, [...new Set([...(merged.get(key) ?? []), ...names])]);
  }
  return merged;
}

/**
 * Lists of names that all members share, and since when this member has known
 * each name: it can't tell how long before that a name was of the present.
 */
export class RecordedLists<T> {
  private lists: NameLists<T> = new Map();
  private knownSinceMs = new Map<string, number>();

  /** Replaces the lists. */
  recall(lists: NameLists<T>, nowMs: number): void {
    if (lists === this.lists) return;
    this.lists = lists;
    const before = this.knownSinceMs;
    this.knownSinceMs = new Map();
    for (const [key, names] of lists) {
      for (const name of names) {
        const id = idOf(key, name);
        this.knownSinceMs.set(id, before.get(id) ?? nowMs);
      }
    }
  }

  /** The names under a key. */
  of(key: string): readonly T[] {
    return this.lists.get(key) ?? [];
  }

  /** Names that streams which may still be resumed can depend on. */
  recent(nowMs: number): NameLists<T> {
    const recent = new Map<string, readonly T[]>();
    for (const [key, names] of this.lists) {
      const kept = names.filter(name => {
        const sinceMs = this.knownSinceMs.get(idOf(key, name)) ?? nowMs;
        return nowMs - sinceMs <= STREAM_ORIGIN_TTL_MS;
      });
      if (kept.length > 0) recent.set(key, kept);
    }
    return recent;
  }
}

function idOf(key: string, name: unknown): string {
  return JSON.stringify([key, name]);
}
