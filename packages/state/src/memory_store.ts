import {err, ok} from 'neverthrow';
import {STORE_ERROR_KIND} from './constants.js';
import {StoreError} from './errors.js';
import type {PlatformStore, StoreEntry} from './types.js';

/** What happens to one call: it works, is refused, or its answer is lost. */
export type SimulatedOutcome = 'works' | 'refused' | 'lost';

/** Decides the fate of the next call. */
export type NextOutcome = () => SimulatedOutcome;

function failure(kind: StoreError['kind']): StoreError {
  return new StoreError(kind, 'decided by the caller');
}

/**
 * In-memory store for embedders' tests; the fate of each write is decided by a
 * function. Calls yield, so that concurrent callers interleave.
 */
export function createMemoryStore(
  decideFate: NextOutcome = () => 'works',
): PlatformStore {
  const values = new Map<string, StoreEntry>();
  let revision = 0;
  let leases = 0;
  const get = (key: string): StoreEntry | null => values.get(key) ?? null;
  return {
    get: async key => {
      await Promise.resolve();
      return ok(get(key));
    },
    compareAndSwap: async ({key, expectedRevision, value}) => {
      await Promise.resolve();
      const fate = decideFate();
      if (fate === 'refused') return err(failure(STORE_ERROR_KIND.UNAVAILABLE));
      const current = get(key);
      const isExpected = (current?.revision ?? 0) === expectedRevision;
      if (isExpected) {
        revision++;
        if (value === null) values.delete(key);
        else values.set(key, {key, value, revision});
      }
      await Promise.resolve();
      if (fate === 'lost') return err(failure(STORE_ERROR_KIND.UNCLEAR));
      return ok(
        isExpected ? {swapped: true, revision} : {swapped: false, current},
      );
    },
    grantLease: async () => ok(`lease-${++leases}`),
    keepAlive: async () => ok(undefined),
    watch: async key => ok(get(key)),
  };
}
