import {LOG_LEVEL} from '@fescuespool/common';
import {z} from 'zod';

const NAME = z.string().min(1).max(128);
const ADDRESS = z.string().regex(/^.+:\d{1,5}$/, 'must be host:port');
const MILLISECONDS = z.number().int().min(1);

/** Schema of a gateway's settings. */
export const GATEWAY_SETTINGS_SCHEMA = z.strictObject({
  memberId: NAME,
  zone: NAME,
  /** Where callers connect. */
  callerAddress: ADDRESS,
  /** Where the balancer asks whether the gateway is ready. */
  readyAddress: ADDRESS,
  /** Path of that question. */
  readyPath: z.string().startsWith('/'),
  /** Where the other gateways connect. */
  peerAddress: ADDRESS,
  /** Port of the metrics on all local addresses; absent to serve none. */
  metricsPort: z.number().int().min(1).max(65_535).optional(),
  logLevel: z.enum(LOG_LEVEL).default(LOG_LEVEL.INFO),
  /**
   * Milliseconds after which a configuration that could not be confirmed no
   * longer lets keys pass; absent to go on with it.
   */
  maxConfigAgeMs: MILLISECONDS.optional(),
  retryBudget: z.strictObject({
    /** Repeated sends for each request of the window. */
    ratio: z.number().min(0),
    /** Repeated sends beyond that, over all gateways. */
    extra: z.number().min(0),
    windowMs: MILLISECONDS,
  }),
  /** By how much accounts may exceed their quotas, over all gateways. */
  quotaTolerance: z.strictObject({
    windowMs: z.number().int().min(0),
    ratio: z.number().min(0),
    extra: z.number().min(0),
  }),
  /** Milliseconds from SIGTERM until the process is killed. */
  stopGraceMs: MILLISECONDS,
});

/** A gateway's settings. */
export type GatewaySettings = z.infer<typeof GATEWAY_SETTINGS_SCHEMA>;
