import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {JOINABLE_RUN_TTL_MS, MAX_JOINABLE_RUNS} from './constants.js';
import type {RunningRequest} from './types.js';

/** Active and finished runs of a cell by their join key, bounded by age. */
export class JoinableRunRegistry {
  private readonly runs: LRUCache<string, RunningRequest>;

  constructor(clock: Clock) {
    this.runs = new LRUCache({
      max: MAX_JOINABLE_RUNS,
      ttl: JOINABLE_RUN_TTL_MS,
      updateAgeOnGet: true,
      perf: {now: clock.monotonicMs},
    });
  }

  /** Records a run under its join key, if it has one. */
  record(run: RunningRequest): void {
    const {joinKey} = run.request;
    if (joinKey !== null) this.runs.set(joinKey, run);
  }

  /** Removes a run that can't be joined, unless a later one has its key. */
  removeRun(run: RunningRequest): void {
    const {joinKey, requestId} = run.request;
    if (joinKey === null) return;
    const recorded = this.runs.peek(joinKey);
    if (recorded?.request.requestId === requestId) this.runs.delete(joinKey);
  }

  /** Looks up the run that a request may join and renews its time to live. */
  find(joinKey: string | null): RunningRequest | undefined {
    return joinKey === null ? undefined : this.runs.get(joinKey);
  }
}
