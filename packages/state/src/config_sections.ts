import {sha256Hex} from '@fescuespool/common';
import type {ClusterConfig} from './config_schema.js';
import {ACCOUNT_SECTION_COUNT} from './constants.js';

/** Part of a configuration that is stored under one key. */
export type ConfigSection = Partial<ClusterConfig>;

/** Name of the section of a client account, by a hash of its identifier. */
export function accountSectionName(accountId: string): string {
  const bucket = parseInt(sha256Hex(accountId).slice(0, 8), 16);
  return `accounts-${bucket % ACCOUNT_SECTION_COUNT}`;
}

/** Splits a configuration into sections, keyed by section name. */
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

/** Joins sections into one configuration; does not check the result. */
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
