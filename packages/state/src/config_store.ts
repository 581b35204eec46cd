import type {Finding} from '@fescuespool/common';
import {errorFinding, sleep, SYSTEM_CLOCK} from '@fescuespool/common';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {applyConfigPatch, EMPTY_CONFIG} from './config_patch.js';
import type {ClusterConfig} from './config_schema.js';
import type {ConfigSection} from './config_sections.js';
import {joinSections, splitSections} from './config_sections.js';
import {
  CONFIG_HEAD_KEY,
  CONFIG_SECTION_PREFIX,
  MAX_RECENT_VERSIONS,
  MAX_STORE_VALUE_BYTES,
  MAX_UNCLEAR_RETRIES,
  STORE_ERROR_KIND,
  SUBMIT_ERROR_KIND,
  UNCLEAR_RETRY_DELAY_MS,
} from './constants.js';
import type {StoreError} from './errors.js';
import {SubmitError} from './errors.js';
import type {
  CasOutcome,
  CasRequest,
  ConfigHead,
  ConfigPatch,
  ConfigVersionEntry,
  PlatformStore,
} from './types.js';

/** The configuration head as stored, with the revision of its key. */
export interface StoredHead {
  readonly head: ConfigHead;
  readonly revision: number;
}

const EMPTY_HEAD: StoredHead = {head: {recent: []}, revision: 0};

/**
 * Parses the value of the head key without checking its fields; throws a
 * SyntaxError for malformed JSON.
 */
export function parseHead(value: string): ConfigHead {
  return JSON.parse(value) as ConfigHead;
}

/** Newest version of a head, the one in force; 0 before the first patch. */
export function headVersion(head: ConfigHead): number {
  return head.recent[0]?.version ?? 0;
}

function toSubmitError(error: StoreError): SubmitError {
  const kind =
    error.kind === STORE_ERROR_KIND.UNCLEAR
      ? SUBMIT_ERROR_KIND.UNCLEAR
      : SUBMIT_ERROR_KIND.UNAVAILABLE;
  return new SubmitError(kind, error.message);
}

function findOversizedSections(
  sections: Record<string, ConfigSection>,
): Finding[] {
  return Object.entries(sections)
    .filter(
      ([, section]) =>
        JSON.stringify(section).length * 2 > MAX_STORE_VALUE_BYTES,
    )
    .map(([name]) =>
      errorFinding(
        name,
        'serialized section may exceed the maximum size of a store value',
      ),
    );
}

/** Reads and patches the versioned configuration in the platform's store. */
export class ConfigStore {
  private readonly sectionCache = new Map<string, ConfigSection>();

  constructor(
    private readonly store: PlatformStore,
    private readonly wallMs: () => number = SYSTEM_CLOCK.wallMs,
  ) {}

  /**
   * Reads the configuration head; returns an empty head with revision 0 when
   * none is stored yet.
   */
  async readHead(): Promise<Result<StoredHead, StoreError>> {
    const entry = await this.store.get(CONFIG_HEAD_KEY);
    return entry.map(found =>
      found
        ? {head: parseHead(found.value), revision: found.revision}
        : EMPTY_HEAD,
    );
  }

  /**
   * Reads the sections of a version, keyed by section name. Stored sections are
   * immutable, so those shared with the version read before are cached. Fails
   * with a conflict when the store no longer holds a section.
   */
  async readSections(
    entry: ConfigVersionEntry,
  ): Promise<Result<Record<string, ConfigSection>, StoreError | SubmitError>> {
    const sections: Record<string, ConfigSection> = {};
    for (const [name, key] of Object.entries(entry.sections)) {
      const section = await this.readSection(key);
      if (section.isErr()) return err(section.error);
      sections[name] = section.value;
    }
    this.evictUnusedSections(new Set(Object.values(entry.sections)));
    return ok(sections);
  }

  /**
   * Applies a patch to the version that it is based on, writes the result and
   * returns the number of the new version. A patch that the head already lists
   * is not applied again; its version is returned.
   */
  async submit(patch: ConfigPatch): Promise<Result<number, SubmitError>> {
    const read = await this.readHead();
    if (read.isErr()) {
      // Nothing has been written yet, so the outcome is known whatever the read
      // error: the patch is not in force.
      const kind = SUBMIT_ERROR_KIND.UNAVAILABLE;
      return err(new SubmitError(kind, read.error.message));
    }
    const {head, revision} = read.value;
    const acceptedVersion = findPatchVersion(head, patch.patchId);
    if (acceptedVersion !== null) return ok(acceptedVersion);
    const current = headVersion(head);
    if (current !== patch.baseVersion)
      return err(conflictError(patch, current));
    const base = await this.readConfig(head.recent[0]);
    if (base.isErr()) return err(base.error);
    const applied = applyConfigPatch(base.value, patch.format, patch.patch);
    if (applied.isErr()) {
      const kind = SUBMIT_ERROR_KIND.INVALID;
      const {findings} = applied.error;
      return err(
        new SubmitError(
          kind,
          'patch cannot be applied or yields an invalid configuration',
          current,
          findings,
        ),
      );
    }
    return this.writeVersion(patch, head, revision, applied.value);
  }

  private async readConfig(
    entry: ConfigVersionEntry | undefined,
  ): Promise<Result<unknown, SubmitError>> {
    if (!entry) return ok(EMPTY_CONFIG);
    const sections = await this.readSections(entry);
    if (sections.isErr()) {
      const kind = SUBMIT_ERROR_KIND.UNAVAILABLE;
      return err(new SubmitError(kind, sections.error.message));
    }
    return ok(joinSections(Object.values(sections.value)));
  }

  private async readSection(
    key: string,
  ): Promise<Result<ConfigSection, StoreError | SubmitError>> {
    const cached = this.sectionCache.get(key);
    if (cached) return ok(cached);
    const found = await this.store.get(key);
    if (found.isErr()) return err(found.error);
    if (!found.value) {
      const kind = SUBMIT_ERROR_KIND.CONFLICT;
      return err(
        new SubmitError(
          kind,
          `configuration section ${key} no longer exists in the store`,
        ),
      );
    }
    const section = JSON.parse(found.value.value) as ConfigSection;
    this.sectionCache.set(key, section);
    return ok(section);
  }

  private evictUnusedSections(keysInUse: ReadonlySet<string>): void {
    for (const key of this.sectionCache.keys()) {
      if (!keysInUse.has(key)) this.sectionCache.delete(key);
    }
  }

  private async writeVersion(
    patch: ConfigPatch,
    head: ConfigHead,
    revision: number,
    cfg: ClusterConfig,
  ): Promise<Result<number, SubmitError>> {
    const sections = splitSections(cfg);
    const oversized = findOversizedSections(sections);
    if (oversized.length > 0) {
      const kind = SUBMIT_ERROR_KIND.INVALID;
      return err(
        new SubmitError(
          kind,
          'patched configuration has sections that are too large',
          null,
          oversized,
        ),
      );
    }
    const written = await this.writeSections(patch, head, sections);
    if (written.isErr()) return err(written.error);
    const entry: ConfigVersionEntry = {
      version: patch.baseVersion + 1,
      patchId: patch.patchId,
      author: patch.author,
      acceptedAtMs: this.wallMs(),
      sections: written.value,
    };
    const recent = [entry, ...head.recent].slice(0, MAX_RECENT_VERSIONS);
    const swapped = await this.swapHead(patch, {recent}, revision);
    if (swapped.isOk()) await this.deleteUnusedSections(head, recent);
    return swapped;
  }

  /**
   * Writes the changed sections under keys that contain the patch identifier;
   * returns the store key of every section, keyed by section name.
   */
  private async writeSections(
    patch: ConfigPatch,
    head: ConfigHead,
    sections: Record<string, ConfigSection>,
  ): Promise<Result<Record<string, string>, SubmitError>> {
    const previousKeys = head.recent[0]?.sections ?? {};
    const keys: Record<string, string> = {};
    for (const [name, section] of Object.entries(sections)) {
      const value = JSON.stringify(section);
      const previousKey = previousKeys[name];
      const previousSection = previousKey && this.sectionCache.get(previousKey);
      if (
        previousKey &&
        previousSection &&
        JSON.stringify(previousSection) === value
      ) {
        keys[name] = previousKey;
        continue;
      }
      const key = `${CONFIG_SECTION_PREFIX}${name}/${patch.patchId}`;
      const written = await this.swapWithRetries({
        key,
        expectedRevision: 0,
        value,
      });
      // An existing section with the same value was written by an earlier
      // attempt at this patch. A different value means that the author has used
      // the patch identifier for another patch.
      const isKeyTaken =
        written.isOk() &&
        !written.value.swapped &&
        written.value.current?.value !== value;
      if (written.isErr() || isKeyTaken) {
        const kind = SUBMIT_ERROR_KIND.UNAVAILABLE;
        const reason = written.isErr()
          ? written.error.message
          : `${key} already holds a section of another patch with this patchId`;
        return err(new SubmitError(kind, reason));
      }
      keys[name] = key;
    }
    return ok(keys);
  }

  private async swapHead(
    patch: ConfigPatch,
    head: ConfigHead,
    revision: number,
  ): Promise<Result<number, SubmitError>> {
    const swapped = await this.swapWithRetries({
      key: CONFIG_HEAD_KEY,
      expectedRevision: revision,
      value: JSON.stringify(head),
    });
    if (swapped.isErr()) return err(toSubmitError(swapped.error));
    if (swapped.value.swapped) return ok(headVersion(head));
    // An earlier attempt whose response was lost may have been applied, and
    // later patches may have been accepted since.
    const {current} = swapped.value;
    const currentHead = current ? parseHead(current.value) : EMPTY_HEAD.head;
    const acceptedVersion = findPatchVersion(currentHead, patch.patchId);
    if (acceptedVersion !== null) return ok(acceptedVersion);
    return err(conflictError(patch, headVersion(currentHead)));
  }

  /**
   * Retries a compare-and-swap whose response was lost. Every attempt expects
   * the same revision, so at most one of them is applied.
   */
  private async swapWithRetries(
    req: CasRequest,
  ): Promise<Result<CasOutcome, StoreError>> {
    let outcome = await this.store.compareAndSwap(req);
    let unclearError: StoreError | null = null;
    for (let retry = 0; retry < MAX_UNCLEAR_RETRIES; retry++) {
      if (outcome.isOk()) return outcome;
      const isUnclear = outcome.error.kind === STORE_ERROR_KIND.UNCLEAR;
      if (isUnclear) unclearError = outcome.error;
      if (!unclearError) return outcome;
      await sleep(UNCLEAR_RETRY_DELAY_MS * (retry + 1));
      outcome = await this.store.compareAndSwap(req);
    }
    return outcome.isErr() && unclearError ? err(unclearError) : outcome;
  }

  /**
   * Deletes the sections that no version in the head refers to any more. A
   * section whose deletion fails stays in the store.
   */
  private async deleteUnusedSections(
    previousHead: ConfigHead,
    recent: readonly ConfigVersionEntry[],
  ): Promise<void> {
    const kept = new Set(recent.flatMap(e => Object.values(e.sections)));
    const dropped = previousHead.recent
      .flatMap(entry => Object.values(entry.sections))
      .filter(key => !kept.has(key));
    for (const key of new Set(dropped)) {
      const found = await this.store.get(key);
      if (found.isErr() || !found.value) continue;
      const expectedRevision = found.value.revision;
      await this.store.compareAndSwap({key, expectedRevision, value: null});
    }
  }
}

/** Version that a patch was accepted as; null if the head does not list it. */
export function findPatchVersion(
  head: ConfigHead,
  patchId: string,
): number | null {
  const entry = head.recent.find(candidate => candidate.patchId === patchId);
  return entry?.version ?? null;
}

function conflictError(patch: ConfigPatch, current: number): SubmitError {
  const kind = SUBMIT_ERROR_KIND.CONFLICT;
  const message = `patch is based on version ${patch.baseVersion}, but ${current} is in force`;
  return new SubmitError(kind, message, current);
}
