import {createHash} from 'node:crypto';
import {GATEWAY_REFUSAL, NOT_READY_RETRY_AFTER_MS} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {RouteTable} from './route_table.js';
import type {
  ClientAccount,
  GatewayConfig,
  RequestHead,
  Route,
} from './types.js';

/** Lowest priority; larger numbers are treated as this one. */
const LOWEST_PRIORITY = 9;

/** Result of admitting a request: its route, client account and quota cost. */
export interface Admission {
  readonly route: Route;
  readonly account: ClientAccount | null;
  /** Tokens or requests that are charged to the account's quota. */
  readonly quotaUnits: number;
  /** Version of the configuration that admitted it. */
  readonly configVersion: number;
}

/** Configuration by which requests are admitted. */
export interface AdmissionState {
  readonly cfg: GatewayConfig | null;
  readonly routes: RouteTable | null;
  /** Whether the configuration is too old to accept or refuse requests by. */
  readonly isStale: boolean;
}

/**
 * Finds the route and the client account of a request; throws a
 * GatewayRefusalError if it is refused. A stale configuration neither accepts
 * keys nor decides that a route does not exist.
 */
export function admit(
  state: AdmissionState,
  host: string,
  path: string,
  head: RequestHead,
): Admission {
  const {cfg, routes, isStale} = state;
  if (!cfg || !routes) {
    throw new GatewayRefusalError(
      GATEWAY_REFUSAL.NOT_CONFIGURED,
      NOT_READY_RETRY_AFTER_MS,
    );
  }
  const staleRefusal = (): GatewayRefusalError =>
    new GatewayRefusalError(
      GATEWAY_REFUSAL.STALE_CONFIG,
      NOT_READY_RETRY_AFTER_MS,
    );
  const route = routes.find(host, path);
  if (!route) {
    throw isStale
      ? staleRefusal()
      : new GatewayRefusalError(GATEWAY_REFUSAL.NO_ROUTE);
  }
  const configVersion = cfg.version;
  if (route.isPublic || !cfg.requiresKeys) {
    return {route, account: null, quotaUnits: 0, configVersion};
  }
  if (isStale) throw staleRefusal();
  const account = head.key === null ? null : cfg.accountsByKey.get(head.key);
  if (!account) throw new GatewayRefusalError(GATEWAY_REFUSAL.UNKNOWN_KEY);
  const quotaUnits = quotaUnitsOf(account, head);
  return {route, account, quotaUnits, configVersion};
}

function quotaUnitsOf(account: ClientAccount, head: RequestHead): number {
  if (!account.countsTokens) return 1;
  const {tokens} = head;
  return tokens ? tokens.prompt + tokens.output : account.defaultTokens;
}

/**
 * Queue tier of a request; 0 is the highest. The account's priority comes
 * first, and the route's orders requests of accounts with equal priority.
 */
export function tierOf({route, account}: Admission): number {
  const routePriority = Math.min(LOWEST_PRIORITY, route.priority);
  const accountPriority = Math.min(
    LOWEST_PRIORITY,
    account?.priority ?? routePriority,
  );
  return accountPriority * (LOWEST_PRIORITY + 1) + routePriority;
}

/** Hash of a request's account, path and body, used for crash detection. */
export function fingerprintOf(
  path: string,
  account: ClientAccount | null,
  body: Buffer,
): string {
  return createHash('sha1')
    .update(`${account?.name ?? ''}\n${path}\n`)
    .update(body)
    .digest('base64');
}
