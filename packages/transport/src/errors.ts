import type {CallErrorKind} from './types.js';

/** A failed HTTP call; its kind says whether a byte can have been sent. */
export class CallError extends Error {
  constructor(
    readonly kind: CallErrorKind,
    message: string,
    /** Whether the response head did not arrive within its timeout. */
    readonly isTimeout = false,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = 'CallError';
  }
}

/** A body that exceeds its maximum size in bytes. */
export class BodyTooLargeError extends Error {
  constructor(readonly maxBytes: number) {
    super(`body exceeds ${maxBytes} bytes`);
    this.name = 'BodyTooLargeError';
  }
}
