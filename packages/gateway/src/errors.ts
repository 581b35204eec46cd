import {MIN_RETRY_AFTER_MS, QUEUE_REFUSAL} from '@fescuespool/scheduling';
import {
  GATEWAY_REFUSAL,
  NOT_READY_RETRY_AFTER_MS,
  REFUSAL_STATUS,
} from './constants.js';
import type {GatewayRefusal} from './types.js';

/** Why the gateway refuses a request, or could not complete it. */
export class GatewayRefusalError extends Error {
  /** HTTP status of the response. */
  readonly status: number;

  constructor(
    readonly reason: GatewayRefusal,
    /**
     * Milliseconds after which a retry may succeed; null if it is pointless.
     */
    readonly retryAfterMs: number | null = null,
  ) {
    super(reason.replaceAll('_', ' '));
    this.name = 'GatewayRefusalError';
    this.status = REFUSAL_STATUS[reason];
  }
}

/** A connection to an upstream that could not be established. */
export class PathError extends Error {
  constructor(
    message: string,
    /** Whether this gateway's path is lost, which says nothing of the upstream. */
    readonly isOwnFault: boolean,
  ) {
    super(message);
    this.name = 'PathError';
  }
}

/** Refusal of a request that did not run, as the gateway stops. */
export function createStoppingRefusal(): GatewayRefusalError {
  return new GatewayRefusalError(GATEWAY_REFUSAL.STOPPING, MIN_RETRY_AFTER_MS);
}

/** Refusal of a request that did not run, as this gateway has no room for it. */
export function createOverloadedRefusal(): GatewayRefusalError {
  return new GatewayRefusalError(
    GATEWAY_REFUSAL.OVERLOADED,
    NOT_READY_RETRY_AFTER_MS,
  );
}

/** Refusal for the reason of a queue's refusal. */
export function toGatewayRefusal(reason: string): GatewayRefusal {
  switch (reason) {
    case QUEUE_REFUSAL.EXPIRED:
      return GATEWAY_REFUSAL.EXPIRED;
    case QUEUE_REFUSAL.NO_UPSTREAM:
      return GATEWAY_REFUSAL.NO_UPSTREAM;
    case QUEUE_REFUSAL.BUDGET_SPENT:
      return GATEWAY_REFUSAL.BUDGET_SPENT;
    default:
      return GATEWAY_REFUSAL.OVERLOADED;
  }
}
