import {STREAM_ORIGIN_TTL_MS} from './stream_constants.js';

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

/** The origin that counts among those that several members know. */
export function latestOrigin(
  origins: readonly (StreamOrigin | null)[],
): StreamOrigin | null {
  let latest: StreamOrigin | null = null;
  for (const origin of origins) {
    if (origin && (!latest || origin.send > latest.send)) latest = origin;
  }
  return latest;
}

/** Software versions that a member has seen of each service, and when. */
export class VersionHistory {
  private readonly lastSeenMs = new Map<string, Map<string | null, number>>();
  private sinceMs: number | null = null;

  /** Records the versions of the registered upstreams, by service. */
  record(
    versionsByService: ReadonlyMap<string, readonly (string | null)[]>,
    nowMs: number,
  ): void {
    if (versionsByService.size > 0) this.sinceMs ??= nowMs;
    // Versions that are registered until now were last seen now.
    for (const seen of this.lastSeenMs.values()) {
      for (const [version, lastMs] of seen) {
        if (lastMs === Infinity) seen.set(version, nowMs);
        else if (nowMs - lastMs > STREAM_ORIGIN_TTL_MS) seen.delete(version);
      }
    }
    for (const [service, versions] of versionsByService) {
      const seen = this.lastSeenMs.get(service) ?? new Map();
      for (const version of versions) seen.set(version, Infinity);
      this.lastSeenMs.set(service, seen);
    }
    for (const [service, seen] of this.lastSeenMs) {
      if (seen.size === 0) this.lastSeenMs.delete(service);
    }
  }

  /**
   * Begins anew, as versions may have come and gone unseen; those that were seen
   * are kept.
   */
  restart(): void {
    this.sinceMs = null;
  }

  /**
   * The only version of a service that was seen within STREAM_ORIGIN_TTL_MS; null
   * if there were several or none, or one is not known.
   */
  soleVersionOf(service: string, nowMs: number): string | null {
    const recent = [...(this.lastSeenMs.get(service) ?? [])].filter(
      ([, lastMs]) => nowMs - lastMs <= STREAM_ORIGIN_TTL_MS,
    );
    return recent.length === 1 ? (recent[0]?.[0] ?? null) : null;
  }

  /** Whether it covers all streams that may still be resumed. */
  isComplete(nowMs: number): boolean {
    return this.sinceMs !== null && nowMs - this.sinceMs > STREAM_ORIGIN_TTL_MS;
  }
}
