import {LOG_LEVEL} from '@fescuespool/common';
import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';
import {DEFAULT_MEMORY_LIMIT_MB, CALLER_BUDGET_SHARE} from './constants.js';

/** Most open file descriptors, of settings that give none. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;

const MIN_DESCRIPTORS = 256;

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;

/**
 * Shares of the other descriptors that the connections to each server may use;
 * the rest is for connections to upstreams, other gateways and the store.
 */
const CONNECTION_SHARE = {
  callers: 0.5,
  tunnels: 0.1,
  ready: 0.05,
  metrics: 0.05,
} as const;

const BYTES_PER_MB = 1_048_576;

const NAME = z.string().min(1).max(128);
const ADDRESS = z.string().regex(/^.+:\d{1,5}$/, 'must be host:port');
const MILLISECONDS = z.number().int().min(1);

/**
 * Validates a gateway's settings and fills in defaults; rejects unknown keys.
 */
export const GATEWAY_SETTINGS_SCHEMA = z.strictObject({
  memberId: NAME,
  zone: NAME,
  /** Listen address for callers, as host:port. */
  callerAddress: ADDRESS,
  /** Listen address for the load balancer's readiness checks, as host:port. */
  readyAddress: ADDRESS,
  /** Path of the readiness check. */
  readyPath: z.string().startsWith('/'),
  /** Listen address for the other gateways, as host:port. */
  peerAddress: ADDRESS,
  /**
   * Listen address for the other gateways' tunnels to upstreams, as host:port;
   * absent to open none.
   */
  tunnelAddress: ADDRESS.optional(),
  /**
   * Port of the metrics endpoint, on the host of readyAddress; absent to serve
   * no metrics.
   */
  metricsPort: z.number().int().min(1).max(65_535).optional(),
  logLevel: z.enum(LOG_LEVEL).default(LOG_LEVEL.INFO),
  /**
   * Milliseconds after which an unconfirmed configuration is stale and keys are
   * no longer accepted; absent to use it indefinitely.
   */
  maxConfigAgeMs: MILLISECONDS.optional(),
  retryBudget: z.strictObject({
    /** Repeated sends per request within the window. */
    ratio: z.number().min(0),
    /** Additional repeated sends, summed over all gateways. */
    extra: z.number().min(0),
    windowMs: MILLISECONDS,
  }),
  /** Tolerated excess over an account's quota, summed over all gateways. */
  quotaTolerance: z.strictObject({
    windowMs: z.number().int().min(0),
    ratio: z.number().min(0),
    extra: z.number().min(0),
  }),
  /** Bounds of roll-outs, summed over all gateways; absent for no roll-outs. */
  rollout: z
    .strictObject({
      /** Share of a service's requests that a bad version may get. */
      exposeShare: z.number().min(0).max(1),
      /** Requests that it may get besides. */
      exposeSlack: z.number().min(0),
      /** Milliseconds after its bad answers for which it may get requests. */
      rollbackMs: MILLISECONDS,
    })
    .optional(),
  /** Memory in megabytes above which the process is killed. */
  memoryLimitMb: z.number().min(1).default(DEFAULT_MEMORY_LIMIT_MB),
  /** Most open file descriptors of the process. */
  maxDescriptors: z
    .number()
    .int()
    .min(MIN_DESCRIPTORS)
    .default(DEFAULT_MAX_DESCRIPTORS),
  /** Milliseconds from SIGTERM until the process is killed forcibly. */
  stopGraceMs: MILLISECONDS,
});

/** Validated gateway settings. */
export type GatewaySettings = z.infer<typeof GATEWAY_SETTINGS_SCHEMA>;

/** Settings bound to sockets or to the process; changes need a restart. */
const RESTART_SETTINGS = [
  'memberId',
  'zone',
  'callerAddress',
  'readyAddress',
  'readyPath',
  'peerAddress',
  'metricsPort',
  'tunnelAddress',
  'logLevel',
  'memoryLimitMb',
  'rollout',
  'maxDescriptors',
] as const;

/** Bytes that all bodies and buffered responses may hold together. */
export function callerBudgetBytes({memoryLimitMb}: GatewaySettings): number {
  return CALLER_BUDGET_SHARE * memoryLimitMb * BYTES_PER_MB;
}

/** Most connections to one of the servers. */
export function maxConnectionsOf(
  server: keyof typeof CONNECTION_SHARE,
  {maxDescriptors}: GatewaySettings,
): number {
  const sockets = maxDescriptors - FILE_DESCRIPTORS;
  return Math.max(1, Math.floor(CONNECTION_SHARE[server] * sockets));
}

/** Changed settings that need a restart, as a list for the log. */
export function settingsToRestartFor(
  previous: GatewaySettings,
  settings: GatewaySettings,
): string {
  return RESTART_SETTINGS.filter(
    name => !isDeepStrictEqual(previous[name], settings[name]),
  ).join(',');
}
