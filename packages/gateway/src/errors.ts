import {REFUSAL_STATUS} from './constants.js';
import type {GatewayRefusal} from './types.js';

/** A request that the gateway answers itself. */
export class GatewayRefusalError extends Error {
  /** HTTP status of the answer. */
  readonly status: number;

  constructor(
    readonly reason: GatewayRefusal,
    /** Milliseconds after which a retry helps; null where none does. */
    readonly retryAfterMs: number | null = null,
  ) {
    super(reason.replaceAll('_', ' '));
    this.name = 'GatewayRefusalError';
    this.status = REFUSAL_STATUS[reason];
  }
}
