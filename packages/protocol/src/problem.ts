import type {Finding} from '@fescuespool/common';
import {MS_PER_SECOND} from '@fescuespool/common';
import type {Outcome, RefusalReason} from '@fescuespool/coordination';
import {REFUSAL_REASON} from '@fescuespool/coordination';
import type {RefusalError} from './errors.js';

const SERVICE_UNAVAILABLE = 503;

/** HTTP status by refusal reason; others mean a lack of capacity (503). */
const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  [REFUSAL_REASON.BAD_REQUEST]: 400,
  [REFUSAL_REASON.KEY_REQUIRED]: 400,
  [REFUSAL_REASON.UNAUTHORIZED]: 401,
  [REFUSAL_REASON.FORBIDDEN]: 403,
  [REFUSAL_REASON.UNKNOWN_SERVICE]: 404,
  [REFUSAL_REASON.ALREADY_RAN]: 409,
  [REFUSAL_REASON.CLAIM_HELD]: 409,
  [REFUSAL_REASON.BODY_TOO_LARGE]: 413,
  [REFUSAL_REASON.KEY_REUSED]: 422,
  [REFUSAL_REASON.POISON_SUSPECTED]: 422,
  [REFUSAL_REASON.UPSTREAM_FAILED]: 502,
  [REFUSAL_REASON.UPSTREAM_TIMEOUT]: 504,
  [REFUSAL_REASON.DEADLINE_EXPIRED]: 504,
};

/** Body of a refusal, in the problem details format. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly requestId: string;
  readonly findings?: readonly Finding[];
}

/** Creates the body of a refusal. */
export function toProblem(refusal: RefusalError, requestId: string): Problem {
  const {reason, outcome, detail, options} = refusal;
  return {
    type: `urn:fescuespool:refusal:${reason}`,
    title: reason.replaceAll('_', ' '),
    status: STATUS_BY_REASON[reason] ?? SERVICE_UNAVAILABLE,
    detail,
    reason,
    outcome,
    requestId,
    ...(options.findings ? {findings: options.findings} : {}),
  };
}

/** Value of the Retry-After header in whole seconds; null to omit it. */
export function retryAfterSeconds(refusal: RefusalError): number | null {
  const ms = refusal.options.retryAfterMs;
  return ms == null ? null : Math.max(1, Math.ceil(ms / MS_PER_SECOND));
}
