import type {CallErrorKind} from './types.js';

/** A failed HTTP call. */
export class CallError extends Error {
  constructor(
    readonly kind: CallErrorKind,
    message: string,
    /** Whether the answer did not come in time. */
    readonly isTimeout = false,
  ) {
    super(message);
    this.name = 'CallError';
  }
}

/** A body that is larger than its bound. */
export class BodyTooLargeError extends Error {
  constructor(readonly maxBytes: number) {
    super(`body exceeds ${maxBytes} bytes`);
    this.name = 'BodyTooLargeError';
  }
}
