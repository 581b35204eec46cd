import type {RunEnd} from '@fescuespool/scheduling';
import {RUN_END} from '@fescuespool/scheduling';
import type {BufferedResponse} from './response_body.js';

/** Outcome of one send to an upstream. */
export interface SendOutcome {
  readonly end: RunEnd;
  /** Whether the caller has its response or has disconnected. */
  readonly isDone: boolean;
  /** Whether any byte of the request may have reached the upstream. */
  readonly mayHaveArrived: boolean;
  /** Whether the upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the connection broke or could not be established. */
  readonly isConnectionFailure: boolean;
  /** Whether the cause lies with this gateway, not with the upstream. */
  readonly isOwnFault: boolean;
  /** The upstream's error response, sent to the caller if no retry succeeds. */
  readonly errorResponse: BufferedResponse | null;
  /** Mean milliseconds between two events; null with fewer than two. */
  readonly eventGapMs: number | null;
  readonly cause: string;
}

/** Outcome of a send whose complete response the caller has. */
export const COMPLETED: SendOutcome = {
  end: RUN_END.COMPLETED,
  isDone: true,
  mayHaveArrived: true,
  mayHaveRun: true,
  isConnectionFailure: false,
  isOwnFault: false,
  errorResponse: null,
  eventGapMs: null,
  cause: '',
};

/** Outcome of a failed send whose request the upstream may have run. */
export function failedRun(end: RunEnd, cause: string): SendOutcome {
  return {...COMPLETED, end, isDone: false, cause};
}

/** Outcome of a send whose request the upstream has not run. */
export function notRun(
  end: RunEnd,
  cause: string,
  mayHaveArrived: boolean,
): SendOutcome {
  return {
    ...failedRun(end, cause),
    mayHaveRun: false,
    mayHaveArrived,
  };
}
