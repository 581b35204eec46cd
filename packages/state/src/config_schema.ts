import type {Finding} from '@fescuespool/common';
import {
  checkAgainstSchema,
  errorFinding,
  FindingsError,
} from '@fescuespool/common';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {SERVICE_KIND} from './constants.js';

const NAME = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/);
const SHA256_HEX = z.string().regex(/^[0-9a-f]{64}$/);

const TIER = z.strictObject({name: NAME});

const ZONE = z.strictObject({region: NAME});

const NON_IDEMPOTENT_CALL = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/'),
});

const SERVICE = z.strictObject({
  kind: z.enum([SERVICE_KIND.MODEL, SERVICE_KIND.APPLICATION]),
  /** Calls that may run at most once, matched by method and path prefix. */
  nonIdempotent: z.array(NON_IDEMPOTENT_CALL).max(256).default([]),
  /** Whether a non-idempotent call without an idempotency key is refused. */
  requireIdempotencyKey: z.boolean().default(false),
  /** Time in milliseconds for a complete response, if the caller sets none. */
  defaultDeadlineMs: z.number().int().min(1).max(3_600_000).default(30_000),
  /** Maximum number of requests that wait in the queue of one cell. */
  maxWaiting: z.number().int().min(1).max(1_000_000).default(10_000),
});

const CLIENT_ACCOUNT = z.strictObject({
  /** SHA-256 of each valid API key; two keys are valid during a rotation. */
  keyHashes: z.array(SHA256_HEX).min(1).max(8),
  tier: NAME,
  /** Relative share of the account among the accounts of its tier. */
  weight: z.number().positive().max(1_000).default(1),
  services: z.array(NAME).max(256).optional(),
});

const UPSTREAM = z.strictObject({
  service: NAME,
  zone: NAME,
  /** Identifier of the VM in the platform's VM list. */
  vm: NAME,
  url: z
    .url({protocol: /^https?$/, abort: true})
    .refine(isBaseUrl, 'must be a base URL'),
  /** Maximum number of concurrent requests. */
  slots: z.number().int().min(1).max(4_096),
  /** Capacity of the prefix cache in tokens; 0 if there is no cache. */
  cacheTokens: z.number().int().min(0).default(0),
  /** Initial estimate in tokens per second, corrected by measurements. */
  prefillTokensPerSecond: z.number().positive().default(5_000),
  /** Initial estimate for one stream, in tokens per second. */
  decodeTokensPerSecond: z.number().positive().default(50),
});

const LIMITS = z.strictObject({
  maxBodyBytes: z.number().int().min(1_024).max(67_108_864).default(4_194_304),
  maxOpenRequests: z.number().int().min(1).max(1_000_000).default(4_096),
  /** Maximum total size in bytes of the bodies that an entry buffers. */
  maxBufferedBytes: z.number().int().min(1_024).default(268_435_456),
});

/** Schema of the cluster configuration, which operators maintain. */
export const CLUSTER_CONFIG_SCHEMA = z.strictObject({
  /** Priority tiers, highest priority first. */
  tiers: z.array(TIER).min(1).max(8),
  zones: z.record(NAME, ZONE),
  services: z.record(NAME, SERVICE),
  clientAccounts: z.record(NAME, CLIENT_ACCOUNT),
  upstreams: z.record(NAME, UPSTREAM),
  limits: LIMITS.prefault({}),
});

/** Schema of one section; the fields of other sections are absent. */
export const CONFIG_SECTION_SCHEMA = CLUSTER_CONFIG_SCHEMA.extend({
  // Has no default, which would add the limits to every section.
  limits: LIMITS,
}).partial();

/** Cluster configuration with the defaults filled in. */
export type ClusterConfig = z.infer<typeof CLUSTER_CONFIG_SCHEMA>;
/** Configuration of a service. */
export type ServiceConfig = z.infer<typeof SERVICE>;
/** Configuration of an upstream. */
export type UpstreamConfig = z.infer<typeof UPSTREAM>;
/** Configuration of a client account. */
export type ClientAccountConfig = z.infer<typeof CLIENT_ACCOUNT>;

/** Whether paths can be appended to a URL to send requests there. */
function isBaseUrl(text: string): boolean {
  if (/[\s?#]/.test(text)) return false;
  const {port, hostname, username} = new URL(text);
  return port !== '0' && username === '' && !/^\.+$/.test(hostname);
}

function checkAccounts(cfg: ClusterConfig, tiers: Set<string>): Finding[] {
  const findings: Finding[] = [];
  const owners = new Map<string, string>();
  for (const [id, account] of Object.entries(cfg.clientAccounts)) {
    const place = `clientAccounts.${id}`;
    if (!tiers.has(account.tier)) {
      findings.push(
        errorFinding(`${place}.tier`, `tier ${account.tier} is not defined`),
      );
    }
    for (const service of account.services ?? []) {
      if (cfg.services[service]) continue;
      findings.push(
        errorFinding(`${place}.services`, `service ${service} is not defined`),
      );
    }
    for (const hash of account.keyHashes) {
      const owner = owners.get(hash);
      if (owner !== undefined && owner !== id) {
        const message = `a key hash is also assigned to account ${owner}`;
        findings.push(errorFinding(`${place}.keyHashes`, message));
      }
      owners.set(hash, id);
    }
  }
  return findings;
}

function checkUpstreams(cfg: ClusterConfig): Finding[] {
  const findings: Finding[] = [];
  for (const [id, upstream] of Object.entries(cfg.upstreams)) {
    const place = `upstreams.${id}`;
    if (!cfg.services[upstream.service]) {
      const message = `service ${upstream.service} is not defined`;
      findings.push(errorFinding(`${place}.service`, message));
    }
    if (!cfg.zones[upstream.zone]) {
      findings.push(
        errorFinding(`${place}.zone`, `zone ${upstream.zone} is not defined`),
      );
    }
  }
  return findings;
}

/**
 * Checks a configuration against its schema, then its references and unique
 * values. The error lists every finding of the step that failed.
 */
export function checkConfig(
  value: unknown,
): Result<ClusterConfig, FindingsError> {
  const checked = checkAgainstSchema(
    'configuration',
    CLUSTER_CONFIG_SCHEMA,
    value,
  );
  if (checked.isErr()) return err(checked.error);
  const cfg = checked.value;
  const tiers = new Set(cfg.tiers.map(tier => tier.name));
  const findings = [...checkAccounts(cfg, tiers), ...checkUpstreams(cfg)];
  if (tiers.size < cfg.tiers.length) {
    findings.push(
      errorFinding(
        'tiers',
        'tier names must be unique, but two tiers have the same name',
      ),
    );
  }
  if (findings.length > 0) {
    return err(new FindingsError('configuration', findings));
  }
  return ok(cfg);
}
