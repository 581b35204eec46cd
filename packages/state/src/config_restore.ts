import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {ActiveVersion} from './active_config.js';
import {headVersion, parseHead} from './config_store.js';
import {CONFIG_HEAD_KEY, MAX_RECENT_VERSIONS} from './constants.js';
import type {StoreError} from './errors.js';
import type {ConfigHead, ConfigVersionEntry, PlatformStore} from './types.js';

/**
 * The head to write if a store that was restored lacks the version in force; null
 * if it has that version or a later one.
 */
export function headWithVersion(
  stored: ConfigHead,
  inForce: ConfigVersionEntry,
): ConfigHead | null {
  if (headVersion(stored) >= inForce.version) return null;
  return {recent: [inForce, ...stored.recent].slice(0, MAX_RECENT_VERSIONS)};
}

/**
 * Writes the version in force again if the store was restored from a copy that
 * lacks it: patches would be accepted under version numbers that are in use.
 * Returns whether it was written; another member may do so at the same time.
 */
export async function writeVersionAgain(
  store: PlatformStore,
  {entry, sections}: ActiveVersion,
): Promise<Result<boolean, StoreError>> {
  const stored = await store.get(CONFIG_HEAD_KEY);
  if (stored.isErr()) return err(stored.error);
  const {value, revision} = stored.value ?? {
    value: '{"recent":[]}',
    revision: 0,
  };
  const head = headWithVersion(parseHead(value), entry);
  if (!head) return ok(false);
  for (const [name, key] of Object.entries(entry.sections)) {
    const section = JSON.stringify(sections[name]);
    const written = await store.compareAndSwap({
      key,
      expectedRevision: 0,
      value: section,
    });
    if (written.isErr()) return err(written.error);
  }
  const swapped = await store.compareAndSwap({
    key: CONFIG_HEAD_KEY,
    expectedRevision: revision,
    value: JSON.stringify(head),
  });
  return swapped.map(outcome => outcome.swapped);
}
