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
  /** Whether its caller was refused before and came back when told to. */
  readonly wasRefused: boolean;
  /** Whether room was promised to it when it was refused. */
  readonly isPromised: boolean;
  /** How far its client account is over its share of the room; 0 if not. */
  shareLevel: number;
  /** Whether the request can no longer meet its objective. */
  isLate: boolean;
}
