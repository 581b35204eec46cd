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
const IP = z.string().refine(text => isIP(text) > 0, 'not an IP number');
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
  /** SHA-256 of the token. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  scope: z.enum(OPERATOR_SCOPE),
});

const SEED = z.strictObject({id: NAME, zone: NAME, address: ADDRESS});

/** Schema of the daemon's settings. */
export const SETTINGS_SCHEMA = z.strictObject({
  memberId: NAME,
  zone: NAME,
  /** Local address of outgoing connections. */
  bindAddress: IP.optional(),
  caller: LISTENER,
  operator: LISTENER.extend({
    tokens: z.array(OPERATOR_TOKEN).max(64).default([]),
  }),
  peer: LISTENER.extend({
    /** Address under which the peers reach this daemon. */
    advertise: ADDRESS.optional(),
  }),
  platform: z.strictObject({url: z.url({protocol: /^https?$/})}),
  seeds: z.array(SEED).max(1_024).default([]),
  metrics: z.strictObject({host: z.string(), port: PORT}).optional(),
  logLevel: z.enum(LOG_LEVEL).default('info'),
  placementPolicy: z.enum(PLACEMENT_POLICY).default(PLACEMENT_POLICY.PRICED),
  /** Serves without TLS or tokens on addresses other than loopback. */
  allowInsecure: z.boolean().default(false),
  shutdown: z
    .strictObject({
      /** Time in milliseconds for the balancer to see the readiness. */
      balancerGraceMs: z.number().int().min(0).default(2_000),
      /** Time in milliseconds after which open requests are cut. */
      limitMs: z.number().int().min(1).default(600_000),
    })
    .prefault({}),
});

/** The daemon's settings. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

function isLoopback(host: string): boolean {
  return host.startsWith('127.') || host === '::1';
}

function findOpenListeners(settings: Settings): FindingsError | null {
  if (settings.allowInsecure) return null;
  const findings = [];
  for (const name of ['caller', 'operator', 'peer'] as const) {
    const listener = settings[name];
    if (isLoopback(listener.host) || listener.tls) continue;
    const message = `TLS is required on ${listener.host}, or allowInsecure`;
    findings.push(errorFinding(`${name}.tls`, message));
  }
  const {host, tokens} = settings.operator;
  if (!isLoopback(host) && tokens.length === 0) {
    const message = 'tokens are required beyond loopback, or allowInsecure';
    findings.push(errorFinding('operator.tokens', message));
  }
  return findings.length > 0 ? new Findings('settings', findings) : null;
}

/** Reads settings from JSON text; all findings are reported together. */
export function parseSettings(text: string): Result<Settings, FindingsError> {
  return parseJson('settings', text)
    .andThen(value => checkAgainstSchema('settings', SETTINGS_SCHEMA, value))
    .andThen(settings => {
      const open = findOpenListeners(settings);
      return open ? err(open) : ok(settings);
    });
}
