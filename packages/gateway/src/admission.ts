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

/** Lowest rank, for what names none. */
const LOWEST_PRIORITY = 9;

/** A request that may be sent on, with the account that asked for it. */
export interface Admission {
  readonly route: Route;
  readonly account: ClientAccount | null;
  /** What the request counts against the account's quota. */
  readonly quotaUnits: number;
}

/** What the admission of a request depends on. */
export interface AdmissionState {
  readonly cfg: GatewayConfig | null;
  readonly routes: RouteTable | null;
  /** Whether the configuration is too old to refuse or allow by it. */
  readonly isStale: boolean;
}

/**
 * Finds the route and the account of a request; throws a GatewayRefusalError.
 * An old configuration neither lets keys pass nor denies that a route exists.
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
  const stale = (): GatewayRefusalError =>
    new GatewayRefusalError(
      GATEWAY_REFUSAL.STALE_CONFIG,
      NOT_READY_RETRY_AFTER_MS,
    );
  const route = routes.find(host, path);
  if (!route) {
    throw isStale ? stale() : new GatewayRefusalError(GATEWAY_REFUSAL.NO_ROUTE);
  }
  if (route.isPublic || !cfg.requiresKeys) {
    return {route, account: null, quotaUnits: 0};
  }
  if (isStale) throw stale();
  const account = head.key === null ? null : cfg.accountsByKey.get(head.key);
  if (!account) throw new GatewayRefusalError(GATEWAY_REFUSAL.UNKNOWN_KEY);
  return {route, account, quotaUnits: quotaUnitsOf(account, head)};
}

function quotaUnitsOf(account: ClientAccount, head: RequestHead): number {
  if (!account.countsTokens) return 1;
  const {tokens} = head;
  return tokens ? tokens.prompt + tokens.output : account.defaultTokens;
}

/**
 * Rank of a request: the account's priority goes before the route's, which still
 * orders the requests of accounts that are equal.
 */
export function tierOf({route, account}: Admission): number {
  const own = Math.min(LOWEST_PRIORITY, route.priority);
  const first = Math.min(LOWEST_PRIORITY, account?.priority ?? own);
  return first * (LOWEST_PRIORITY + 1) + own;
}

/** Names requests with the same path, account and body, for crash detection. */
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
