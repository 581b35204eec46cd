import {mergeLists, RecordedLists} from './recorded_lists.js';
import type {ServicesByRoute} from './route_history.js';
import {STREAM_ORIGIN_TTL_MS} from './stream_constants.js';

/**
 * Software version of a stream that began at an upstream which may have started
 * again unseen: it can't go on elsewhere.
 */
export const UNKNOWN_VERSION = '';

/** Where a stream began. Only upstreams of that software version can go on. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
  /**
   * Number of the send within its request; of two origins, the higher counts,
   * since a send that brought no event may be followed by another.
   */
  readonly send: number;
}

/** What is known of where a stream began. */
export interface OriginLookup {
  readonly origin: StreamOrigin | null;
  /**
   * Whether all that were asked have answered, so that null means that nobody
   * knows.
   */
  readonly isCertain: boolean;
}

/**
 * The origin that counts among those that several members know. The version of a
 * send may become known after its first event.
 */
export function latestOrigin(
  origins: readonly (StreamOrigin | null)[],
): StreamOrigin | null {
  let latest: StreamOrigin | null = null;
  for (const origin of origins) {
    if (!origin) continue;
    const isKnownNow =
      latest?.softwareVersion === UNKNOWN_VERSION &&
      origin.send === latest.send;
    if (!latest || origin.send > latest.send || isKnownNow) latest = origin;
  }
  return latest;
}

/** Software versions by service; null for one that is not known. */
export type VersionsByService = ReadonlyMap<string, readonly (string | null)[]>;

/**
 * Where streams may have begun that may still be resumed, as the members recorded
 * it outside of all members.
 */
export interface OriginRecord {
  /** Versions of the services. */
  readonly versions: VersionsByService;
  /** Routes that led to several services, up to `configVersion`. */
  readonly movedRoutes: ServicesByRoute;
  readonly configVersion: number;
  /** Whether it also tells of the time before this process started. */
  readonly isComplete: boolean;
}

/**
 * Software versions that a member has seen of each service, and when, with what
 * the members recorded of them outside of all members.
 */
export class VersionHistory {
  private readonly lastSeenMs = new Map<string, Map<string | null, number>>();
  private sinceMs: number | null = null;
  /** The record in force; null while it has to be read again. */
  private current: OriginRecord | null = null;
  private readonly recorded = new RecordedLists<string | null>();
  private wasEverComplete = false;
  private readonly recallListeners = new Set<() => void>();

  /** Records the versions of the registered upstreams, by service. */
  record(versionsByService: VersionsByService, nowMs: number): void {
    if (versionsByService.size > 0) this.sinceMs ??= nowMs;
    // Versions that are registered until now were last seen now.
    for (const seen of this.lastSeenMs.values()) {
      for (const [version, lastMs] of seen) {
        if (lastMs === Infinity) seen.set(version, nowMs);
        else if (nowMs - lastMs > STREAM_ORIGIN_TTL_MS) seen.delete(version);
      }
    }
    for (const [service, versions] of versionsByService) {
      const seen = this.seenOf(service);
      for (const version of versions) seen.set(version, Infinity);
    }
    for (const [service, seen] of this.lastSeenMs) {
      if (seen.size === 0) this.lastSeenMs.delete(service);
    }
    this.noteCompleteness(nowMs);
  }

  /** Applies the members' record. */
  recall(record: OriginRecord, nowMs: number): void {
    this.current = record;
    this.noteCompleteness(nowMs);
    this.recorded.recall(record.versions, nowMs);
    for (const listener of [...this.recallListeners]) listener();
  }

  /**
   * Begins anew, as versions may have come and gone unseen; those that were seen
   * are kept.
   */
  restart(): void {
    this.sinceMs = null;
    this.current = null;
  }

  /** Versions that were seen or recorded within STREAM_ORIGIN_TTL_MS. */
  recentVersions(nowMs: number): VersionsByService {
    return mergeLists(this.seenVersions(nowMs), this.recorded.recent(nowMs));
  }

  /** Versions that this member itself has seen in that time. */
  seenVersions(nowMs: number): VersionsByService {
    const recent = new Map<string, readonly (string | null)[]>();
    for (const service of this.lastSeenMs.keys()) {
      const versions = this.recentOf(service, nowMs);
      if (versions.length > 0) recent.set(service, versions);
    }
    return recent;
  }

  /**
   * The only version at which streams of a service can have begun; null if there
   * may be several. By the record, as no stream begins at a version that it lacks
   * while there is one that it has; without it, by what was seen within
   * STREAM_ORIGIN_TTL_MS.
   */
  soleVersionOf(service: string, nowMs: number): string | null {
    const versions = this.current?.isComplete
      ? (this.current.versions.get(service) ?? [])
      : this.recentOf(service, nowMs);
    return versions.length === 1 ? (versions[0] ?? null) : null;
  }

  /**
   * The version at which a new stream has to begin, among those of the upstreams
   * that stay; null if any will do. Versions that are not recorded yet wait, so
   * that streams from before them can be told from theirs if all members end.
   */
  versionToBegin(
    service: string,
    staying: readonly (string | null)[],
  ): string | null {
    if (!this.current?.isComplete) return null;
    const [sole = null, ...others] = this.current.versions.get(service) ?? [];
    if (sole === null || others.length > 0) return null;
    const isMixed = staying.some(version => version !== sole);
    return isMixed && staying.includes(sole) ? sole : null;
  }

  /**
   * Whether the record alone tells that a stream of a service began at a version,
   * and nothing else has been seen that would have to be recorded.
   */
  implies(
    {service, softwareVersion}: Omit<StreamOrigin, 'send'>,
    nowMs: number,
  ): boolean {
    const recent = this.recentOf(service, nowMs);
    return (
      this.current?.isComplete === true &&
      this.soleVersionOf(service, nowMs) === softwareVersion &&
      recent.every(version => version === softwareVersion)
    );
  }

  /** Whether the record has been read. */
  get hasRecord(): boolean {
    return this.current !== null;
  }

  /** Resolves when the record is read next, at the latest after some ms. */
  whenRecalled(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const settle = (): void => {
        clearTimeout(timer);
        this.recallListeners.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, timeoutMs);
      this.recallListeners.add(settle);
    });
  }

  /** Whether it covers all streams that may still be resumed. */
  isComplete(nowMs: number): boolean {
    return this.current?.isComplete === true || this.isOldEnough(nowMs);
  }

  /** Whether this member has seen all versions for as long as streams last. */
  isOldEnough(nowMs: number): boolean {
    return this.sinceMs !== null && nowMs - this.sinceMs > STREAM_ORIGIN_TTL_MS;
  }

  /** Whether it has covered all such streams since this process started. */
  get hasBeenComplete(): boolean {
    return this.wasEverComplete;
  }

  private noteCompleteness(nowMs: number): void {
    this.wasEverComplete ||= this.isComplete(nowMs);
  }

  private seenOf(service: string): Map<string | null, number> {
    const seen = this.lastSeenMs.get(service) ?? new Map();
    this.lastSeenMs.set(service, seen);
    return seen;
  }

  private recentOf(service: string, nowMs: number): (string | null)[] {
    return [...(this.lastSeenMs.get(service) ?? [])]
      .filter(([, lastMs]) => nowMs - lastMs <= STREAM_ORIGIN_TTL_MS)
      .map(([version]) => version);
  }
}
