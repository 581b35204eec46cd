import {sha256Hex} from '@fescuespool/common';
import type {ClusterConfig} from './config_schema.js';
import {ACCOUNT_SECTION_COUNT} from './constants.js';

/** Part of a configuration that is stored as one value. */
export type ConfigSection = Partial<ClusterConfig>;

/** Names the section that holds a client account. */
export function accountSectionName(accountId: string): string {
  const bucket = parseInt(sha256Hex(accountId).slice(0, 8), 16);
  return `accounts-${bucket % ACCOUNT_SECTION_COUNT}`;
}

/** Splits a configuration into its sections by name. */
export function splitSections(
  cfg: ClusterConfig,
): Record<string, ConfigSection> {
  const {clientAccounts, upstreams, ...base} = cfg;
  const sections: Record<string, ConfigSection> = {
    base,
    upstreams: {upstreams},
  };
  for (const [id, account] of Object.entries(clientAccounts)) {
    const name = accountSectionName(id);
    sections[name] ??= {clientAccounts: {}};
    sections[name].clientAccounts![id] = account;
  }
  return sections;
}

/** Joins sections into one configuration; the result is not yet checked. */
export function joinSections(
  sections: readonly ConfigSection[],
): ConfigSection & {clientAccounts: ClusterConfig['clientAccounts']} {
  const clientAccounts: ClusterConfig['clientAccounts'] = {};
  const joined: ConfigSection = {};
  for (const section of sections) {
    Object.assign(joined, section);
    Object.assign(clientAccounts, section.clientAccounts);
  }
  return {...joined, clientAccounts};
}
