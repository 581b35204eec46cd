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
import type {Route, StreamStore} from './types.js';

/** What the archive has of a stream. */
export interface ArchiveLookup {
  readonly origin: StreamOrigin | null;
  /** Whether the archive could be read, so that null means that it has none. */
  readonly isRead: boolean;
}

/** Where the archived streams began, by request id. */
type Origins = ReadonlyMap<string, StreamOrigin>;

/**
 * Whether members can tell where a stream of a route began even if all of them
 * have ended.
 */
export type IsImplied = (origin: StreamOrigin, route: Route) => boolean;

/** A stream that is open or broke off recently. */
interface ArchivedStream {
  readonly origin: StreamOrigin;
  readonly route: Route;
  /** Whether it was implied when it was looked at last. */
  isImplied: boolean;
}

/**
 * Keeps where the streams of this member began outside of all members, so that
 * they can be resumed after all members have ended. Each member stores one
 * snapshot of those that are open or broke off recently, but for those that can be
 * told from the members' record. Snapshots are written
 * behind: a stream is not delayed, and one of the last moments may be missing.
 */
export class StreamArchive {
  private readonly streams = new LRUCache<string, ArchivedStream>({
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

  /**
   * Records where a stream begins that this member serves; returns whether other
   * members have to be told.
   */
  open(requestId: string, origin: StreamOrigin, route: Route): boolean {
    const isImplied = this.isImplied(origin, route);
    if (requestId.length <= MAX_STREAM_ID_LENGTH) {
      this.streams.set(requestId, {origin, route, isImplied});
      if (!isImplied) this.markDirty();
    }
    return !isImplied;
  }

  /** Records the end of a stream; one that broke off may yet be resumed. */
  end(requestId: string, isComplete: boolean): void {
    const stream = this.streams.get(requestId);
    if (!stream) return;
    if (isComplete) this.streams.delete(requestId);
    else this.streams.set(requestId, stream, {ttl: BROKEN_STREAM_TTL_MS});
  }

  /**
   * Returns the streams that were implied and are not any more, and stores them
   * from now on.
   */
  takeUnimplied(): [string, StreamOrigin][] {
    const unimplied: [string, StreamOrigin][] = [];
    for (const [requestId, stream] of this.streams.entries()) {
      const {origin, route} = stream;
      if (!stream.isImplied || this.isImplied(origin, route)) continue;
      stream.isImplied = false;
      unimplied.push([requestId, origin]);
    }
    if (unimplied.length > 0) this.markDirty();
    return unimplied;
  }

  /** Stores the snapshot again, as the store may have lost it. */
  rewrite(): void {
    this.streams.purgeStale();
    if (this.stored().length > 0) this.markDirty();
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

  /** The streams that the snapshot has to have. */
  private stored(): [string, StreamOrigin][] {
    return [...this.streams.entries()]
      .filter(([, {isImplied}]) => !isImplied)
      .map(([requestId, {origin}]) => [requestId, origin]);
  }

  private markDirty(): void {
    this.isDirty = true;
    this.scheduleWrite();
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
    const isStored = await this.store.write(encodeSnapshot(this.stored()));
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
