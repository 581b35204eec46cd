import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Why the connection of a caller was closed before its responses were written. */
export type EarlyCloseReason =
  /** A response had begun and could not be completed. */
  | 'response_cut'
  /** The server no longer listens. */
  | 'stopping'
  | 'other';

/** Closes the connection of a response that has begun and can't be completed. */
export class ResponseCutError extends Error {
  constructor() {
    super('response cut');
    this.name = 'ResponseCutError';
  }
}

/** A connection that its caller did not close, with requests that are open. */
export interface EarlyClose {
  readonly reason: EarlyCloseReason;
  /** Requests whose responses are not written to their end. */
  readonly open: number;
  /** Those of them that were passed on to an upstream. */
  readonly passedOn: number;
  /** Those of them whose responses were complete, but not written. */
  readonly unwritten: number;
}

/**
 * Describes why a connection was closed before the responses to its open requests;
 * null if none was open or the caller or the network ended it.
 */
export function describeEarlyClose(
  socket: Socket,
  open: readonly ServerResponse[],
  /** The error that cut a response; null if none was cut. */
  cutBy: Error | null,
  isPassedOn: (res: ServerResponse) => boolean,
  isListening: boolean,
): EarlyClose | null {
  if (open.length === 0 || isClosedByCaller(socket)) return null;
  return {
    reason: reasonOf(cutBy, isListening),
    open: open.length,
    passedOn: open.filter(isPassedOn).length,
    unwritten: open.filter(res => res.writableEnded).length,
  };
}

function isClosedByCaller({readableEnded, errored}: Socket): boolean {
  return readableEnded || isNetworkError(errored);
}

/** Whether an error comes from the operating system, as that of a reset does. */
export function isNetworkError(err: Error | null): boolean {
  return err !== null && 'syscall' in err;
}

function reasonOf(cutBy: Error | null, isListening: boolean): EarlyCloseReason {
  if (cutBy instanceof ResponseCutError) return 'response_cut';
  return isListening ? 'other' : 'stopping';
}
