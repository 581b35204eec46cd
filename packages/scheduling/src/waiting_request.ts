import type {GrantRequest, QueueAnswer} from './types.js';

/** A waiting request with its deadlines, in monotonic milliseconds. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  /** Called when the request is placed, refused or moved. */
  readonly answer: (answer: QueueAnswer) => void;
  readonly arrivedAtMs: number;
  /** Time by which the first byte should arrive. */
  readonly objectiveAtMs: number;
  /** Latest placement that lets it start before the caller stops waiting. */
  readonly placementDeadlineMs: number;
  /** Whether a request with the same fingerprint was refused recently. */
  readonly wasRefused: boolean;
  /** Whether the request can no longer meet its objective. */
  isLate: boolean;
}
