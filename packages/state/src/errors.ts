import type {Finding} from '@fescuespool/common';
import {formatFinding} from '@fescuespool/common';
import type {StoreErrorKind, SubmitErrorKind} from './types.js';

/** Failure of a call to the platform's store. */
export class StoreError extends Error {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
  ) {
    super(message);
    this.name = 'StoreError';
  }
}

/** Failure to submit a patch; if the kind is `unclear`, it may be in force. */
export class SubmitError extends Error {
  constructor(
    readonly kind: SubmitErrorKind,
    message: string,
    /** Version in force when the patch was rejected; null if unknown. */
    readonly currentVersion: number | null = null,
    readonly findings: readonly Finding[] = [],
  ) {
    super(
      findings.length > 0
        ? `${message}: ${findings.map(formatFinding).join('; ')}`
        : message,
    );
    this.name = 'SubmitError';
  }
}
