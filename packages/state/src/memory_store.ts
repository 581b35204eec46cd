import {err, ok} from 'neverthrow';
import {STORE_ERROR_KIND} from './constants.js';
import {StoreError} from './errors.js';
import {StoreEpoch} from './store_epoch.js';
import type {PlatformStore, StoreEntry} from './types.js';

/**
 * Outcome of one write: it works, it is refused and not applied, or it is
 * processed but its response is lost.
 */
export type SimulatedOutcome = 'works' | 'refused' | 'lost';

/** Returns the outcome of the next write. */
export type NextOutcome = () => SimulatedOutcome;

/** A store that tests can restore from a copy. */
export interface MemoryStore extends PlatformStore {
  /** Copies the store; the returned function restores it from that copy. */
  readonly copyForRestore: () => () => void;
}

function simulatedError(kind: StoreError['kind']): StoreError {
  return new StoreError(kind, 'simulated failure of a store write');
}

/**
 * Creates an in-memory store for tests, also those of embedding programs; a
 * callback sets the outcome of each write. Reads and writes yield, so that
 * concurrent callers interleave. Leases never expire; a watch returns at once.
 */
export function createMemoryStore(
  nextOutcome: NextOutcome = () => 'works',
): MemoryStore {
  let values = new Map<string, StoreEntry>();
  const epoch = new StoreEpoch();
  let revision = 0;
  let restores = 0;
  let leaseCount = 0;
  const get = (key: string): StoreEntry | null => values.get(key) ?? null;
  return {
    epoch,
    copyForRestore: () => {
      const copy = new Map(values);
      const copiedRevision = revision;
      return () => {
        values = new Map(copy);
        revision = copiedRevision;
        restores++;
      };
    },
    get: async key => {
      await Promise.resolve();
      epoch.record(restores);
      return ok(get(key));
    },
    compareAndSwap: async ({key, expectedRevision, value}) => {
      await Promise.resolve();
      const outcome = nextOutcome();
      if (outcome !== 'lost') epoch.record(restores);
      if (outcome === 'refused')
        return err(simulatedError(STORE_ERROR_KIND.UNAVAILABLE));
      const current = get(key);
      const isExpected = (current?.revision ?? 0) === expectedRevision;
      if (isExpected) {
        revision++;
        if (value === null) values.delete(key);
        else values.set(key, {key, value, revision});
      }
      await Promise.resolve();
      if (outcome === 'lost')
        return err(simulatedError(STORE_ERROR_KIND.UNCLEAR));
      return ok(
        isExpected ? {swapped: true, revision} : {swapped: false, current},
      );
    },
    grantLease: async () => ok(`lease-${++leaseCount}`),
    keepAlive: async () => ok(undefined),
    watch: async key => ok(get(key)),
  };
}
