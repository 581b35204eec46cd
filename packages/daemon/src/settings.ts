import type {FindingsError} from '@fescuespool/common';
import {
  checkAgainstSchema,
  errorFinding,
  FindingsError as Findings,
  LOG_LEVEL,
  parseJson,
} from '@fescuespool/common';
import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {isIP} from 'node:net';
import {z} from 'zod';
import {OPERATOR_SCOPE} from './constants.js';

const NAME = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/);
const PORT = z.number().int().min(0).max(65_535);
const IP = z.string().refine(text => isIP(text) > 0, 'must be an IP address');
const ADDRESS = z.string().regex(/^.+:\d{1,5}$/, 'must be host:port');

const TLS = z.strictObject({
  certFile: z.string(),
  keyFile: z.string(),
  caFile: z.string().optional(),
});

const LISTENER = z.strictObject({
  host: IP.default('127.0.0.1'),
  port: PORT,
  tls: TLS.optional(),
});

const OPERATOR_TOKEN = z.strictObject({
  name: NAME,
  /** SHA-256 of the token in lower-case hex. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  scope: z.enum(OPERATOR_SCOPE),
});

const SEED = z.strictObject({id: NAME, zone: NAME, address: ADDRESS});

/** Schema of the daemon's settings file. */
export const SETTINGS_SCHEMA = z.strictObject({
  memberId: NAME,
  zone: NAME,
  /** Local IP address of outgoing connections. */
  bindAddress: IP.optional(),
  caller: LISTENER,
  operator: LISTENER.extend({
    tokens: z.array(OPERATOR_TOKEN).max(64).default([]),
  }),
  peer: LISTENER.extend({
    /** `host:port` under which peers reach this daemon, if not the listener's. */
    advertise: ADDRESS.optional(),
  }),
  platform: z.strictObject({url: z.url({protocol: /^https?$/})}),
  seeds: z.array(SEED).max(1_024).default([]),
  metrics: z.strictObject({host: z.string(), port: PORT}).optional(),
  logLevel: z.enum(LOG_LEVEL).default('info'),
  placementPolicy: z.enum(PLACEMENT_POLICY).default(PLACEMENT_POLICY.PRICED),
  /** Permits non-loopback listeners without TLS or operator tokens. */
  allowInsecure: z.boolean().default(false),
  shutdown: z
    .strictObject({
      /**
       * Time in milliseconds for the load balancer to detect that the daemon is
       * not ready; until then the daemon accepts connections.
       */
      balancerGraceMs: z.number().int().min(0).default(2_000),
      /** Time in milliseconds that open requests get before they are ended. */
      limitMs: z.number().int().min(1).default(600_000),
    })
    .prefault({}),
});

/** The daemon's settings with defaults applied. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

function isLoopback(host: string): boolean {
  return host.startsWith('127.') || host === '::1';
}

function findInsecureListeners(settings: Settings): FindingsError | null {
  if (settings.allowInsecure) return null;
  const findings = [];
  for (const name of ['caller', 'operator', 'peer'] as const) {
    const listener = settings[name];
    if (isLoopback(listener.host) || listener.tls) continue;
    const message = `TLS is required on ${listener.host} unless allowInsecure is set`;
    findings.push(errorFinding(`${name}.tls`, message));
  }
  const {host, tokens} = settings.operator;
  if (!isLoopback(host) && tokens.length === 0) {
    const message =
      'tokens are required beyond loopback unless allowInsecure is set';
    findings.push(errorFinding('operator.tokens', message));
  }
  return findings.length > 0 ? new Findings('settings', findings) : null;
}

/** Parses settings from JSON; an error lists all findings. */
export function parseSettings(text: string): Result<Settings, FindingsError> {
  return parseJson('settings', text)
    .andThen(value => checkAgainstSchema('settings', SETTINGS_SCHEMA, value))
    .andThen(settings => {
      const insecure = findInsecureListeners(settings);
      return insecure ? err(insecure) : ok(settings);
    });
}
