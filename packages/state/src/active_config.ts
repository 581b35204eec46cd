import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {FindingsError} from '@fescuespool/common';
import type {ClusterConfig} from './config_schema.js';
import {checkConfig} from './config_schema.js';
import type {ConfigSection} from './config_sections.js';
import {joinSections} from './config_sections.js';
import type {ConfigVersionEntry} from './types.js';

/** A configuration in force with the account index that it implies. */
export interface ActiveVersion {
  readonly entry: ConfigVersionEntry;
  readonly cfg: ClusterConfig;
  readonly sections: Readonly<Record<string, ConfigSection>>;
  /** Account identifier by SHA-256 of a key. */
  readonly accountByKeyHash: ReadonlyMap<string, string>;
  /** Rank of each tier by name; 0 is the highest. */
  readonly tierRank: ReadonlyMap<string, number>;
}

function indexAccounts(cfg: ClusterConfig): Map<string, string> {
  const index = new Map<string, string>();
  for (const [id, account] of Object.entries(cfg.clientAccounts)) {
    for (const hash of account.keyHashes) index.set(hash, id);
  }
  return index;
}

/** The configuration that a process has in force; versions only grow. */
export class ActiveConfig {
  private active: ActiveVersion | null = null;
  private readonly listeners: Array<(active: ActiveVersion) => void> = [];

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.active?.entry.version ?? 0;
  }

  /** The version in force, or null before the first. */
  get current(): ActiveVersion | null {
    return this.active;
  }

  /** Calls a function with each version that comes into force. */
  onChange(listener: (active: ActiveVersion) => void): void {
    this.listeners.push(listener);
  }

  /** Puts a version in force if it is higher; tells whether it did. */
  apply(
    entry: ConfigVersionEntry,
    sections: Record<string, ConfigSection>,
  ): Result<boolean, FindingsError> {
    if (entry.version <= this.version) return ok(false);
    const cfg = checkConfig(joinSections(Object.values(sections)));
    if (cfg.isErr()) return err(cfg.error);
    const ranks = cfg.value.tiers.map(
      (tier, rank) => [tier.name, rank] as const,
    );
    this.active = {
      entry,
      cfg: cfg.value,
      sections,
      accountByKeyHash: indexAccounts(cfg.value),
      tierRank: new Map(ranks),
    };
    for (const listener of this.listeners) listener(this.active);
    return ok(true);
  }
}
