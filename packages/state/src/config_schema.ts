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
  /** Calls that may run at most once, told by method and path. */
  nonIdempotent: z.array(NON_IDEMPOTENT_CALL).max(256).default([]),
  /** Refuses a non-idempotent call without a key. */
  requireIdempotencyKey: z.boolean().default(false),
  /** Time in milliseconds in which a whole answer is wanted. */
  defaultDeadlineMs: z.number().int().min(1).max(3_600_000).default(30_000),
  /** Longest queue of one cell. */
  maxWaiting: z.number().int().min(1).max(1_000_000).default(10_000),
});

const CLIENT_ACCOUNT = z.strictObject({
  /** SHA-256 of each valid key; two during a rotation. */
  keyHashes: z.array(SHA256_HEX).min(1).max(8),
  tier: NAME,
  /** Share of the account among the accounts of its tier. */
  weight: z.number().positive().max(1_000).default(1),
  services: z.array(NAME).max(256).optional(),
});

const UPSTREAM = z.strictObject({
  service: NAME,
  zone: NAME,
  /** Identifier of the VM in the platform's list. */
  vm: NAME,
  url: z.url({protocol: /^https?$/}),
  /** Requests that may run at once. */
  slots: z.number().int().min(1).max(4_096),
  /** Prefix cache in tokens; 0 where there is none. */
  cacheTokens: z.number().int().min(0).default(0),
  /** First estimate in tokens a second, corrected by what is measured. */
  prefillTokensPerSecond: z.number().positive().default(5_000),
  /** First estimate in tokens a second of one stream. */
  decodeTokensPerSecond: z.number().positive().default(50),
});

const LIMITS = z.strictObject({
  maxBodyBytes: z.number().int().min(1_024).max(67_108_864).default(4_194_304),
  maxOpenRequests: z.number().int().min(1).max(1_000_000).default(4_096),
  /** Bytes of bodies that an entry holds at once. */
  maxBufferedBytes: z.number().int().min(1_024).default(268_435_456),
});

/** Schema of the operators' configuration. */
export const CLUSTER_CONFIG_SCHEMA = z.strictObject({
  /** Priority tiers, the highest first. */
  tiers: z.array(TIER).min(1).max(8),
  zones: z.record(NAME, ZONE),
  services: z.record(NAME, SERVICE),
  clientAccounts: z.record(NAME, CLIENT_ACCOUNT),
  upstreams: z.record(NAME, UPSTREAM),
  limits: LIMITS.prefault({}),
});

/** Schema of one section; what stands in no section is absent. */
export const CONFIG_SECTION_SCHEMA = CLUSTER_CONFIG_SCHEMA.extend({
  // Without its default, which would stand in every section.
  limits: LIMITS,
}).partial();

/** The operators' configuration. */
export type ClusterConfig = z.infer<typeof CLUSTER_CONFIG_SCHEMA>;
/** A service of the configuration. */
export type ServiceConfig = z.infer<typeof SERVICE>;
/** An upstream of the configuration. */
export type UpstreamConfig = z.infer<typeof UPSTREAM>;
/** A client account of the configuration. */
export type ClientAccountConfig = z.infer<typeof CLIENT_ACCOUNT>;

function findAccountFaults(cfg: ClusterConfig, tiers: Set<string>): Finding[] {
  const findings: Finding[] = [];
  const owners = new Map<string, string>();
  for (const [id, account] of Object.entries(cfg.clientAccounts)) {
    const place = `clientAccounts.${id}`;
    if (!tiers.has(account.tier)) {
      findings.push(errorFinding(`${place}.tier`, `no tier ${account.tier}`));
    }
    for (const service of account.services ?? []) {
      if (cfg.services[service]) continue;
      findings.push(errorFinding(`${place}.services`, `no service ${service}`));
    }
    for (const hash of account.keyHashes) {
      const owner = owners.get(hash);
      if (owner !== undefined && owner !== id) {
        const message = `key is shared with account ${owner}`;
        findings.push(errorFinding(`${place}.keyHashes`, message));
      }
      owners.set(hash, id);
    }
  }
  return findings;
}

function findUpstreamFaults(cfg: ClusterConfig): Finding[] {
  const findings: Finding[] = [];
  for (const [id, upstream] of Object.entries(cfg.upstreams)) {
    const place = `upstreams.${id}`;
    if (!cfg.services[upstream.service]) {
      const message = `no service ${upstream.service}`;
      findings.push(errorFinding(`${place}.service`, message));
    }
    if (!cfg.zones[upstream.zone]) {
      findings.push(errorFinding(`${place}.zone`, `no zone ${upstream.zone}`));
    }
  }
  return findings;
}

/** Checks a configuration; all findings are reported together. */
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
  const findings = [
    ...findAccountFaults(cfg, tiers),
    ...findUpstreamFaults(cfg),
  ];
  if (tiers.size < cfg.tiers.length) {
    findings.push(errorFinding('tiers', 'two tiers share a name'));
  }
  if (findings.length > 0) {
    return err(new FindingsError('configuration', findings));
  }
  return ok(cfg);
}
