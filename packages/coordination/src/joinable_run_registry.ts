import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {JOINABLE_RUN_TTL_MS, MAX_JOINABLE_RUNS} from './constants.js';
import type {RunningRequest} from './types.js';

/** Runs of a cell by the key under which a caller may join them. */
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

  /** Remembers where a request runs. */
  record(run: RunningRequest): void {
    const {joinKey} = run.request;
    if (joinKey !== null) this.runs.set(joinKey, run);
  }

  /** Forgets a run that can't be joined. */
  removeRun(run: RunningRequest): void {
    const {joinKey, requestId} = run.request;
    if (joinKey === null) return;
    const recorded = this.runs.peek(joinKey);
    if (recorded?.request.requestId === requestId) this.runs.delete(joinKey);
  }

  /** Finds the run that a request may join. */
  find(joinKey: string | null): RunningRequest | undefined {
    return joinKey === null ? undefined : this.runs.get(joinKey);
  }
}
