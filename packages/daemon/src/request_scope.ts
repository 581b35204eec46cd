import {
  equalInConstantTime,
  errorFinding,
  newId,
  sha256Hex,
} from '@fescuespool/common';
import {OUTCOME, REFUSAL_REASON} from '@fescuespool/coordination';
import {
  HEADER,
  MAX_DEADLINE_MS,
  MAX_IDEMPOTENCY_KEY_LENGTH,
  RefusalError,
} from '@fescuespool/protocol';
import type {
  ActiveVersion,
  ClientAccountConfig,
  ServiceConfig,
} from '@fescuespool/state';
import type {IncomingMessage} from 'node:http';
import {REQUEST_PHASE} from './constants.js';
import type {OpenRequest} from './open_requests.js';

const BEARER = /^Bearer +(\S+)$/i;

/** Client account that a request was authenticated as. */
export interface Caller {
  readonly accountId: string;
  readonly account: ClientAccountConfig;
  /** Number of the account's tier; 0 is the highest priority. */
  readonly tier: number;
}

/**
 * Caller, service and deadline of a request, for the functions that handle it.
 */
export interface RequestScope {
  readonly requestId: string;
  readonly caller: Caller;
  readonly serviceName: string;
  readonly service: ServiceConfig;
  readonly idempotencyKey: string | null;
  /** Deadline of the response: monotonic time in milliseconds. */
  readonly deadlineAtMs: number;
  readonly openRequest: OpenRequest;
}

function notRunRefusal(
  reason: ConstructorParameters<typeof RefusalError>[0],
  detail: string,
): RefusalError {
  return new RefusalError(reason, OUTCOME.NOT_RUN, detail);
}

/**
 * Finds the account that a request's API key belongs to; throws a
 * `RefusalError`.
 */
export function authenticate(
  req: IncomingMessage,
  active: ActiveVersion,
): Caller {
  const match = BEARER.exec(req.headers[HEADER.AUTHORIZATION] ?? '');
  const keyHash = match?.[1] === undefined ? null : sha256Hex(match[1]);
  const accountId =
    keyHash === null ? undefined : active.accountByKeyHash.get(keyHash);
  const account =
    accountId === undefined ? undefined : active.cfg.clientAccounts[accountId];
  const isKeyOfAccount =
    keyHash !== null &&
    account?.keyHashes.some(hash => equalInConstantTime(hash, keyHash));
  if (accountId === undefined || !account || !isKeyOfAccount) {
    throw notRunRefusal(
      REFUSAL_REASON.UNAUTHORIZED,
      'the Authorization header has no valid key of a client account',
    );
  }
  const tier = active.tierByName.get(account.tier) ?? 0;
  return {accountId, account, tier};
}

/**
 * Finds a service; throws a `RefusalError` if it does not exist or the account
 * may not use it.
 */
export function findService(
  active: ActiveVersion,
  caller: Caller,
  name: string,
  kind: ServiceConfig['kind'],
): ServiceConfig {
  const service = Object.hasOwn(active.cfg.services, name)
    ? active.cfg.services[name]
    : undefined;
  if (service?.kind !== kind) {
    const detail = `no ${kind} service is named ${JSON.stringify(name)}`;
    throw notRunRefusal(REFUSAL_REASON.UNKNOWN_SERVICE, detail);
  }
  const {services} = caller.account;
  if (services && !services.includes(name)) {
    const detail = `account ${caller.accountId} may not use service ${name}`;
    throw notRunRefusal(REFUSAL_REASON.FORBIDDEN, detail);
  }
  return service;
}

/**
 * Reads the idempotency key and the deadline from the headers. Throws one
 * `RefusalError` with all findings.
 */
export function readRequestHeaders(
  req: IncomingMessage,
  service: ServiceConfig,
): {readonly idempotencyKey: string | null; readonly deadlineMs: number} {
  const findings = [];
  const key = req.headers[HEADER.IDEMPOTENCY_KEY];
  const idempotencyKey = typeof key === 'string' ? key : null;
  const length = idempotencyKey?.length ?? 1;
  if (length < 1 || length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    const message = `must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
    findings.push(errorFinding('Idempotency-Key', message));
  }
  const requestedDeadline = req.headers[HEADER.DEADLINE_MS];
  const deadlineMs =
    requestedDeadline === undefined
      ? service.defaultDeadlineMs
      : Number(requestedDeadline);
  const isInRange = deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS;
  if (!Number.isInteger(deadlineMs) || !isInRange) {
    const message = `must be an integer from 1 to ${MAX_DEADLINE_MS}`;
    findings.push(errorFinding('X-Request-Deadline-Ms', message));
  }
  if (findings.length > 0) {
    throw new RefusalError(
      REFUSAL_REASON.BAD_REQUEST,
      OUTCOME.NOT_RUN,
      'invalid request headers',
      {findings},
    );
  }
  return {idempotencyKey, deadlineMs};
}

/** Creates an open request with a new identifier. */
export function createOpenRequest(
  tier: number,
  preemptible: boolean,
): OpenRequest {
  return {
    requestId: newId(),
    tier,
    preemptible,
    phase: REQUEST_PHASE.READING,
    bodyBytes: 0,
    abortReason: null,
    controller: new AbortController(),
  };
}
