import type {RolloutOrder, RolloutRecord} from '@fescuespool/scheduling';
import {ROLLOUT_STATE} from '@fescuespool/scheduling';
import type {Result} from 'neverthrow';

/** Where a record was read or written; revision null if the store lacks it. */
export interface RolloutPosition {
  readonly revision: number | null;
  /** Rises when the store is restored from a copy. */
  readonly epoch: number;
}

/** A roll-out's record with its position in the store. */
export interface StoredRollout extends RolloutPosition {
  readonly record: RolloutRecord;
}

/** Keeps the records of roll-outs where they outlast all members. */
export interface RolloutStore {
  /** Reads the record of a service; null if there is none. */
  readonly read: (
    service: string,
  ) => Promise<Result<StoredRollout | null, Error>>;
  /**
   * Writes the record of a service, and the state for the operator, if nobody
   * has written it since a revision; null for a record that does not exist. It
   * may have been written although this fails.
   */
  readonly write: (
    service: string,
    record: RolloutRecord,
    revision: number | null,
  ) => Promise<Result<RolloutPosition, Error>>;
}

/** Whether two orders are the same; a repeated one begins nothing new. */
export function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
  return a.target === b.target && a.durationMs === b.durationMs;
}

/** Whether a position is later than another one. */
export function isLaterPosition(
  a: RolloutPosition,
  b: RolloutPosition,
): boolean {
  if (a.epoch !== b.epoch) return a.epoch > b.epoch;
  return (a.revision ?? 0) > (b.revision ?? 0);
}

/**
 * What holds of two records, where the store may have come back older: a verdict
 * holds against `running`, and counts do not fall. Returns `stored` itself if it
 * lacks nothing.
 */
export function mergeRecords(
  known: RolloutRecord,
  stored: RolloutRecord,
  order: RolloutOrder | null,
): RolloutRecord {
  if (!isSameOrder(known, stored)) {
    return order && isSameOrder(order, known) ? known : stored;
  }
  const {RUNNING} = ROLLOUT_STATE;
  if (known.state !== RUNNING) {
    return stored.state === known.state ? stored : known;
  }
  const isBehind =
    stored.state === RUNNING &&
    (known.permitted > stored.permitted || known.elapsedMs > stored.elapsedMs);
  if (!isBehind) return stored;
  return {
    ...stored,
    arrived: Math.max(known.arrived, stored.arrived),
    permitted: Math.max(known.permitted, stored.permitted),
    elapsedMs: Math.max(known.elapsedMs, stored.elapsedMs),
  };
}
