import {CALL_ERROR_KIND} from './constants.js';
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

  /** Whether it is certain that no byte was written. */
  get isUnsent(): boolean {
    return this.kind !== CALL_ERROR_KIND.AMBIGUOUS;
  }
}

/** A body that exceeds its maximum size in bytes. */
export class BodyTooLargeError extends Error {
  constructor(readonly maxBytes: number) {
    super(`body exceeds ${maxBytes} bytes`);
    this.name = 'BodyTooLargeError';
  }
}
