import type {Clock} from '@fescuespool/common';
import type {CrashDetector} from './crash_detector.js';
import type {PlacementPolicy} from './placement.js';
import type {JoinableRunRegistry} from './joinable_run_registry.js';
import type {GrantRequest, RunningRequest} from './types.js';
import type {ActiveRun} from './upstream_state.js';

/** Dependencies, limits and callbacks of a cell. */
export interface CellOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly policy: PlacementPolicy;
  readonly crashes: CrashDetector;
  /** Joinable runs, including those that the cell's predecessor granted. */
  readonly joinableRuns: JoinableRunRegistry;
  readonly maxWaiting: number;
  readonly random: () => number;
  /** Asks the entry of a run to cancel it in favour of a higher tier. */
  readonly preempt: (run: ActiveRun) => void;
  /**
   * Asks the entries which runs have ended; `Cell.handleRunsVerified` is called
   * once they have answered. Precedes preemption, so that no run is preempted
   * while slots are in fact free.
   */
  readonly requestVerification: () => void;
  /** Called when the process was suspended and the cell must be rebuilt. */
  readonly onStale: () => void;
  /** Sends a grant to the successor before the request is answered. */
  readonly replicate: (run: RunningRequest) => void;
  /** Cancels a run at its upstream after its entry was lost. */
  readonly cancelOrphan: (run: ActiveRun) => void;
  /** Counts a metrics event of a request, at the time of the decision. */
  readonly countEvent: (event: string, request: GrantRequest) => void;
}
