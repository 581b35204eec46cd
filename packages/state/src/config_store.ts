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

/** The head of the configuration with the revision of its key. */
export interface StoredHead {
  readonly head: ConfigHead;
  readonly revision: number;
}

const NO_HEAD: StoredHead = {head: {recent: []}, revision: 0};

/** Parses the value of the head key. */
export function parseHead(value: string): ConfigHead {
  return JSON.parse(value) as ConfigHead;
}

/** Version that a head puts in force; 0 before the first patch. */
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
    .map(([name]) => errorFinding(name, 'section outgrows a store value'));
}

/** Reads and changes the versioned configuration in the platform's store. */
export class ConfigStore {
  private readonly sectionCache = new Map<string, ConfigSection>();

  constructor(
    private readonly store: PlatformStore,
    private readonly wallMs: () => number = SYSTEM_CLOCK.wallMs,
  ) {}

  /** Reads the head; an empty head where there is none yet. */
  async readHead(): Promise<Result<StoredHead, StoreError>> {
    const entry = await this.store.get(CONFIG_HEAD_KEY);
    return entry.map(found =>
      found
        ? {head: parseHead(found.value), revision: found.revision}
        : NO_HEAD,
    );
  }

  /**
   * Reads the sections of a version. Sections are immutable, so those that an
   * earlier version shares come from the cache.
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
    this.dropStaleSections(new Set(Object.values(entry.sections)));
    return ok(sections);
  }

  /** Submits a patch against a version; the result is the new version. */
  async submit(patch: ConfigPatch): Promise<Result<number, SubmitError>> {
    const read = await this.readHead();
    if (read.isErr()) {
      // Nothing has been written yet, so the patch is certainly not in force.
      const kind = SUBMIT_ERROR_KIND.UNAVAILABLE;
      return err(new SubmitError(kind, read.error.message));
    }
    const {head, revision} = read.value;
    const accepted = findPatchVersion(head, patch.patchId);
    if (accepted !== null) return ok(accepted);
    const current = headVersion(head);
    if (current !== patch.baseVersion) return err(conflict(patch, current));
    const base = await this.readVersion(head.recent[0]);
    if (base.isErr()) return err(base.error);
    const applied = applyConfigPatch(base.value, patch.format, patch.patch);
    if (applied.isErr()) {
      const kind = SUBMIT_ERROR_KIND.INVALID;
      const {findings} = applied.error;
      return err(new SubmitError(kind, 'invalid patch', current, findings));
    }
    return this.write(patch, head, revision, applied.value);
  }

  private async readVersion(
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
      return err(new SubmitError(kind, `section ${key} has been collected`));
    }
    const section = JSON.parse(found.value.value) as ConfigSection;
    this.sectionCache.set(key, section);
    return ok(section);
  }

  private dropStaleSections(inUse: ReadonlySet<string>): void {
    for (const key of this.sectionCache.keys()) {
      if (!inUse.has(key)) this.sectionCache.delete(key);
    }
  }

  private async write(
    patch: ConfigPatch,
    head: ConfigHead,
    revision: number,
    cfg: ClusterConfig,
  ): Promise<Result<number, SubmitError>> {
    const sections = splitSections(cfg);
    const oversized = findOversizedSections(sections);
    if (oversized.length > 0) {
      const kind = SUBMIT_ERROR_KIND.INVALID;
      return err(new SubmitError(kind, 'too large', null, oversized));
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
    if (swapped.isOk()) await this.collect(head, recent);
    return swapped;
  }

  /** Writes the changed sections under keys that only this patch uses. */
  private async writeSections(
    patch: ConfigPatch,
    head: ConfigHead,
    sections: Record<string, ConfigSection>,
  ): Promise<Result<Record<string, string>, SubmitError>> {
    const before = head.recent[0]?.sections ?? {};
    const keys: Record<string, string> = {};
    for (const [name, section] of Object.entries(sections)) {
      const value = JSON.stringify(section);
      const oldKey = before[name];
      const old = oldKey && this.sectionCache.get(oldKey);
      if (oldKey && old && JSON.stringify(old) === value) {
        keys[name] = oldKey;
        continue;
      }
      const key = `${CONFIG_SECTION_PREFIX}${name}/${patch.patchId}`;
      const put = await this.swapSurely({key, expectedRevision: 0, value});
      // A section that stands already is a retry of this same patch, unless
      // its author used the identifier for another patch.
      const foreign =
        put.isOk() && !put.value.swapped && put.value.current?.value !== value;
      if (put.isErr() || foreign) {
        const kind = SUBMIT_ERROR_KIND.UNAVAILABLE;
        const reason = put.isErr() ? put.error.message : `${key} is taken`;
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
    const swapped = await this.swapSurely({
      key: CONFIG_HEAD_KEY,
      expectedRevision: revision,
      value: JSON.stringify(head),
    });
    if (swapped.isErr()) return err(toSubmitError(swapped.error));
    if (swapped.value.swapped) return ok(headVersion(head));
    // The swap may have been ours with its answer lost, also when others have
    // been accepted since.
    const {current} = swapped.value;
    const now = current ? parseHead(current.value) : NO_HEAD.head;
    const accepted = findPatchVersion(now, patch.patchId);
    if (accepted !== null) return ok(accepted);
    return err(conflict(patch, headVersion(now)));
  }

  /**
   * Repeats a swap whose answer was lost. The expected revision makes the
   * repetition harmless: at most one of them is applied.
   */
  private async swapSurely(
    req: CasRequest,
  ): Promise<Result<CasOutcome, StoreError>> {
    let outcome = await this.store.compareAndSwap(req);
    let unclear: StoreError | null = null;
    for (let retry = 0; retry < MAX_UNCLEAR_RETRIES; retry++) {
      if (outcome.isOk()) return outcome;
      const isUnclear = outcome.error.kind === STORE_ERROR_KIND.UNCLEAR;
      if (isUnclear) unclear = outcome.error;
      if (!unclear) return outcome;
      await sleep(UNCLEAR_RETRY_DELAY_MS * (retry + 1));
      outcome = await this.store.compareAndSwap(req);
    }
    return outcome.isErr() && unclear ? err(unclear) : outcome;
  }

  /** Deletes sections that no remembered version names any more. */
  private async collect(
    before: ConfigHead,
    recent: readonly ConfigVersionEntry[],
  ): Promise<void> {
    const kept = new Set(recent.flatMap(e => Object.values(e.sections)));
    const dropped = before.recent
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

/** Version that a patch was accepted as, or null. */
export function findPatchVersion(
  head: ConfigHead,
  patchId: string,
): number | null {
  const entry = head.recent.find(candidate => candidate.patchId === patchId);
  return entry?.version ?? null;
}

function conflict(patch: ConfigPatch, current: number): SubmitError {
  const kind = SUBMIT_ERROR_KIND.CONFLICT;
  const message = `version ${patch.baseVersion} has been replaced by ${current}`;
  return new SubmitError(kind, message, current);
}
