import type {Clock} from '@fescuespool/common';
import type {PlacementPolicy} from './placement.js';
import type {PoisonRegistry} from './poison_registry.js';
import type {JoinableRunRegistry} from './joinable_run_registry.js';
import type {GrantRequest, RunningRequest} from './types.js';
import type {ActiveRun} from './upstream_state.js';

/** What a cell needs from its surroundings. */
export interface CellOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly policy: PlacementPolicy;
  readonly poison: PoisonRegistry;
  /** Runs that may be joined, also those that a predecessor granted. */
  readonly joinableRuns: JoinableRunRegistry;
  readonly maxWaiting: number;
  readonly random: () => number;
  /** Asks the entry of a run to cancel it for a higher tier. */
  readonly preempt: (run: ActiveRun) => void;
  /**
   * Asks the entries which runs have ended; the cell's `verified` is called when
   * they have answered. Precedes preemption, so that none is made for slots that
   * are free.
   */
  readonly requestVerification: () => void;
  /** Called when the process was stopped and the cell must be rebuilt. */
  readonly onStale: () => void;
  /** Tells the successor where a request is about to run. */
  readonly replicate: (run: RunningRequest) => void;
  /** Cancels at its upstream a run whose entry has been lost. */
  readonly cancelOrphan: (run: ActiveRun) => void;
  /** Counts an event that concerns a request, at the moment of the decision. */
  readonly countEvent: (event: string, request: GrantRequest) => void;
}
