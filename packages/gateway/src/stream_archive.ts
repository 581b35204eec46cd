import type {Clock, Logger} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {
  BROKEN_STREAM_TTL_MS,
  MAX_ARCHIVED_STREAMS,
  MAX_STREAM_ID_LENGTH,
  MIN_SNAPSHOT_INTERVAL_MS,
  SNAPSHOT_INTERVAL_PER_MEMBER_MS,
  SNAPSHOT_REFRESH_MS,
  SNAPSHOT_RETRY_MS,
  STREAM_ORIGIN_TTL_MS,
} from './stream_constants.js';
import type {StreamOrigin, VersionsByService} from './stream_origin.js';
import {latestOrigin} from './stream_origin.js';
import {decodeSnapshot, encodeSnapshot} from './stream_snapshot.js';
import type {StreamStore} from './types.js';

/** What the archive has of a stream. */
export interface ArchiveLookup {
  readonly origin: StreamOrigin | null;
  /** Whether the archive could be read, so that null means that it has none. */
  readonly isRead: boolean;
}

/** Where the archived streams began, by request id. */
type Origins = ReadonlyMap<string, StreamOrigin>;

/** Whether members know where a stream began even if all of them have ended. */
export type IsImplied = (origin: StreamOrigin) => boolean;

/**
 * Keeps where the streams of this member began outside of all members, so that
 * they can be resumed after all members have ended. Each member stores one
 * snapshot of those that are open or broke off recently, but for those whose
 * version follows from the versions that are recorded. Snapshots are written
 * behind: a stream is not delayed, and one of the last moments may be missing.
 */
export class StreamArchive {
  private readonly origins = new LRUCache<string, StreamOrigin>({
    max: MAX_ARCHIVED_STREAMS,
    ttl: STREAM_ORIGIN_TTL_MS,
  });
  private isDirty = false;
  private hasFailed = false;
  private timer: NodeJS.Timeout | null = null;
  private isWriting = false;
  private isClosed = false;
  private lastWriteMs = -Infinity;
  private lastRead: Promise<unknown> = Promise.resolve();
  private nextRead: Promise<Origins | null> | null = null;
  /** Services whose streams are stored. */
  private storedServices = new Set<string>();
  private readonly refreshTimer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly store: StreamStore,
    private readonly memberCount: () => number,
    private readonly isImplied: IsImplied,
  ) {
    this.refreshTimer = setInterval(() => this.rewrite(), SNAPSHOT_REFRESH_MS);
  }

  /** Records where a stream begins that this member serves. */
  open(requestId: string, origin: StreamOrigin): void {
    if (requestId.length > MAX_STREAM_ID_LENGTH) return;
    this.origins.set(requestId, origin);
    if (this.isImplied(origin)) return;
    this.storedServices.add(origin.service);
    this.isDirty = true;
    this.scheduleWrite();
  }

  /**
   * Stores the open streams of services of which the versions that were recorded
   * no longer tell where streams began. Called when versions or their record
   * have changed.
   */
  handleVersionsChanged(): void {
    const stored = new Set<string>();
    for (const origin of this.origins.values()) {
      const {service} = origin;
      if (!stored.has(service) && !this.isImplied(origin)) stored.add(service);
    }
    const isNew = [...stored].some(name => !this.storedServices.has(name));
    this.storedServices = stored;
    if (!isNew) return;
    this.isDirty = true;
    this.scheduleWrite();
  }

  /** The versions at which archived streams began; null if it can't be read. */
  async versionsInUse(): Promise<VersionsByService | null> {
    const origins = await this.read();
    if (!origins) return null;
    const versions = new Map<string, string[]>();
    for (const {service, softwareVersion} of origins.values()) {
      const known = versions.get(service) ?? [];
      if (!known.includes(softwareVersion)) known.push(softwareVersion);
      versions.set(service, known);
    }
    return versions;
  }

  /** Records the end of a stream; one that broke off may yet be resumed. */
  end(requestId: string, isComplete: boolean): void {
    const origin = this.origins.get(requestId);
    if (!origin) return;
    if (isComplete) this.origins.delete(requestId);
    else this.origins.set(requestId, origin, {ttl: BROKEN_STREAM_TTL_MS});
  }

  /** Stores the snapshot again, as the store may have lost it. */
  rewrite(): void {
    this.origins.purgeStale();
    const stored = [...this.origins.values()].some(o => !this.isImplied(o));
    if (!stored) return;
    this.isDirty = true;
    this.scheduleWrite();
  }

  /** Finds where a stream began in the snapshots of all members. */
  async find(requestId: string): Promise<ArchiveLookup> {
    const origins = await this.read();
    const origin = origins?.get(requestId) ?? null;
    return {origin, isRead: origins !== null};
  }

  /** Stops writing. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.refreshTimer);
    if (this.timer) clearTimeout(this.timer);
  }

  private scheduleWrite(): void {
    if (this.timer || this.isWriting || this.isClosed) return;
    const intervalMs = Math.max(
      this.hasFailed ? SNAPSHOT_RETRY_MS : MIN_SNAPSHOT_INTERVAL_MS,
      SNAPSHOT_INTERVAL_PER_MEMBER_MS * this.memberCount(),
    );
    const sinceLastMs = this.clock.monotonicMs() - this.lastWriteMs;
    this.timer = setTimeout(
      () => void this.write(),
      Math.max(0, intervalMs - sinceLastMs),
    );
  }

  private async write(): Promise<void> {
    this.timer = null;
    this.isWriting = true;
    this.isDirty = false;
    this.lastWriteMs = this.clock.monotonicMs();
    const stored = [...this.origins.entries()].filter(
      ([, origin]) => !this.isImplied(origin),
    );
    const isStored = await this.store.write(encodeSnapshot(stored));
    this.isWriting = false;
    if (!isStored) this.isDirty = true;
    if (isStored === this.hasFailed) {
      this.hasFailed = !isStored;
      this.log.info('stream_snapshots', {areStored: isStored});
    }
    if (this.isDirty) this.scheduleWrite();
  }

  /**
   * Reads all snapshots. Questions share a read, but only one that begins after
   * them, as an earlier one may miss what was stored before they were asked.
   */
  private read(): Promise<Origins | null> {
    if (this.nextRead) return this.nextRead;
    const read = this.lastRead.then(() => {
      this.nextRead = null;
      return this.readNow();
    });
    this.nextRead = read;
    this.lastRead = read;
    return read;
  }

  private async readNow(): Promise<Origins | null> {
    const snapshots = await this.store.readAll();
    if (!snapshots) return null;
    const origins = new Map<string, StreamOrigin>();
    for (const {key, value} of snapshots) {
      const decoded = decodeSnapshot(key, value);
      if (decoded.isErr()) {
        const err = decoded.error.message;
        this.log.warn('stream_snapshot_unreadable', {key, err});
        continue;
      }
      for (const [requestId, origin] of decoded.value) {
        const known = origins.get(requestId) ?? null;
        const latest = latestOrigin([known, origin]);
        if (latest) origins.set(requestId, latest);
      }
    }
    return origins;
  }
}
