import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {FindingsError} from '@fescuespool/common';
import {checkAgainstSchema} from '@fescuespool/common';
import type {ClusterConfig} from './config_schema.js';
import {CONFIG_SECTION_SCHEMA} from './config_schema.js';
import type {ConfigSection} from './config_sections.js';
import {joinSections} from './config_sections.js';
import type {ConfigVersionEntry} from './types.js';

/** A configuration version in force, with lookup tables derived from it. */
export interface ActiveVersion {
  readonly entry: ConfigVersionEntry;
  readonly cfg: ClusterConfig;
  readonly sections: Readonly<Record<string, ConfigSection>>;
  /** Account identifiers, keyed by the SHA-256 of each API key. */
  readonly accountByKeyHash: ReadonlyMap<string, string>;
  /** Number of each tier, keyed by its name; 0 is the highest priority. */
  readonly tierByName: ReadonlyMap<string, number>;
}

function indexAccounts(cfg: ClusterConfig): Map<string, string> {
  const index = new Map<string, string>();
  for (const [id, account] of Object.entries(cfg.clientAccounts)) {
    for (const hash of account.keyHashes) index.set(hash, id);
  }
  return index;
}

/** The configuration in force in a process; its version never decreases. */
export class ActiveConfig {
  private active: ActiveVersion | null = null;
  private readonly listeners: Array<(active: ActiveVersion) => void> = [];

  /** Number of the version in force; 0 before the first one. */
  get version(): number {
    return this.active?.entry.version ?? 0;
  }

  /** The version in force; null before the first one. */
  get current(): ActiveVersion | null {
    return this.active;
  }

  /** Adds a listener that is called with each version that comes into force. */
  onChange(listener: (active: ActiveVersion) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Puts a version in force if it is newer; returns whether it did. The whole
   * configuration was checked when it was accepted, so only sections that are
   * new to this process are checked again: a change in one section must not
   * cost a check of all client accounts.
   */
  apply(
    entry: ConfigVersionEntry,
    sections: Readonly<Record<string, ConfigSection>>,
  ): Result<boolean, FindingsError> {
    if (entry.version <= this.version) return ok(false);
    const checked: Record<string, ConfigSection> = {};
    for (const [name, section] of Object.entries(sections)) {
      const result = this.checkSection(name, section);
      if (result.isErr()) return err(result.error);
      checked[name] = result.value;
    }
    const cfg = joinSections(Object.values(checked)) as ClusterConfig;
    const tiers = cfg.tiers.map((tier, index) => [tier.name, index] as const);
    this.active = {
      entry,
      cfg,
      sections: checked,
      accountByKeyHash: indexAccounts(cfg),
      tierByName: new Map(tiers),
    };
    for (const listener of this.listeners) listener(this.active);
    return ok(true);
  }

  private checkSection(
    name: string,
    section: ConfigSection,
  ): Result<ConfigSection, FindingsError> {
    if (this.active?.sections[name] === section) return ok(section);
    return checkAgainstSchema(name, CONFIG_SECTION_SCHEMA, section);
  }
}
