import {describe, expect, it} from 'vitest';
import {ActiveConfig} from './active_config.js';
import {checkConfig} from './config_schema.js';
import {splitSections} from './config_sections.js';
import type {ConfigVersionEntry} from './types.js';

const CONFIG = {
  tiers: [{name: 'high'}, {name: 'low'}],
  zones: {a: {region: 'r'}},
  services: {chat: {kind: 'model'}},
  clientAccounts: Object.fromEntries(
    Array.from({length: 40}, (_, i) => [
      `account-${i}`,
      {tier: 'low', keyHashes: [i.toString(16).padStart(64, '0')]},
    ]),
  ),
  upstreams: {},
  limits: {maxOpenRequests: 99},
};

function entryOf(version: number): ConfigVersionEntry {
  return {version, patchId: 'p', author: 'a', acceptedAtMs: 0, sections: {}};
}

describe('ActiveConfig', () => {
  const checked = checkConfig(CONFIG)._unsafeUnwrap();

  it('restores a configuration from its sections', () => {
    const active = new ActiveConfig();
    active.apply(entryOf(1), splitSections(checked))._unsafeUnwrap();
    expect(active.current?.cfg).toEqual(checked);
    expect(active.current?.accountByKeyHash.size).toBe(40);
  });

  it('ignores versions that are not higher than the one in force', () => {
    const active = new ActiveConfig();
    const versions: number[] = [];
    active.onChange(({entry}) => versions.push(entry.version));
    for (const version of [2, 1, 3, 3, 2]) {
      active.apply(entryOf(version), splitSections(checked))._unsafeUnwrap();
    }
    expect(versions).toEqual([2, 3]);
  });

  it('rejects a malformed section and keeps the version in force', () => {
    const active = new ActiveConfig();
    active.apply(entryOf(1), splitSections(checked))._unsafeUnwrap();
    const bad = {base: {tiers: 'none'} as never};
    expect(active.apply(entryOf(2), bad).isErr()).toBe(true);
    expect(active.version).toBe(1);
  });
});
