import type {DispatchQueue} from './dispatch_queue.js';
import type {ReturnCounts} from './refusals/return_ledger.js';
import type {RetryCounts} from './retry_budget.js';

/** Present figures of a queue, for metrics. */
export interface QueueStats extends ReturnCounts, RetryCounts {
  readonly waiting: number;
  /** Granted requests that have not ended. */
  readonly running: number;
  /** Parts of prompts that are taken to be held at all upstreams. */
  readonly heldParts: number;
  /** Tokens that were taken to be held, but were read again. */
  readonly disprovedTokens: number;
}

/** Counts what a queue and its upstreams hold. */
export function queueStats({
  waitingCount,
  upstreams,
  prefixes,
  returnCounts,
  retryBudget,
}: DispatchQueue): QueueStats {
  let running = 0;
  let heldParts = 0;
  for (const state of upstreams.values()) {
    running += state.runs.size;
    heldParts += prefixes.partCount(state);
  }
  const {disprovedTokens} = prefixes;
  return {
    ...returnCounts,
    ...retryBudget.counts,
    waiting: waitingCount,
    running,
    heldParts,
    disprovedTokens,
  };
}
