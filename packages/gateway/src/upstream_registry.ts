import type {UpstreamSpec} from '@fescuespool/scheduling';
import {LRUCache} from 'lru-cache';
import {MAX_REMOVED_UPSTREAMS} from './constants.js';
import type {UpstreamsByService} from './dispatcher.js';
import {VersionHistory} from './stream_origin.js';

/** Sorts an upstream behind those that have not been used yet. */
const CONNECTION_FAILED = -1;

/** Tracks the currently registered upstreams and recently removed ones. */
export class UpstreamRegistry {
  private readonly byId = new Map<string, UpstreamSpec>();
  /** Software versions of the services. */
  readonly versions = new VersionHistory();
  private registeredAddresses: ReadonlySet<string> = new Set();
  private readonly serviceById = new Map<string, string>();
  /**
   * Monotonic milliseconds of each upstream's last complete response, or
   * CONNECTION_FAILED if a connection to it has failed since then.
   */
  private readonly lastResponseMs = new Map<string, number>();
  private readonly removed = new LRUCache<string, true>({
    max: MAX_REMOVED_UPSTREAMS,
  });

  /** Whether no upstream is registered. */
  get isEmpty(): boolean {
    return this.byId.size === 0;
  }

  /** Addresses of the registered upstreams. */
  get addresses(): ReadonlySet<string> {
    return this.registeredAddresses;
  }

  /**
   * Replaces the registered upstreams and remembers those that were removed, at a
   * monotonic time in milliseconds.
   */
  replace(upstreams: UpstreamsByService, nowMs: number): void {
    const previousIds = [...this.byId.keys()];
    this.byId.clear();
    this.serviceById.clear();
    for (const [service, specs] of upstreams) {
      for (const spec of specs) {
        this.byId.set(spec.instanceId, spec);
        this.serviceById.set(spec.instanceId, service);
      }
    }
    this.registeredAddresses = new Set(
      [...this.byId.values()].map(({address}) => address),
    );
    this.versions.record(
      new Map(
        [...upstreams].map(([service, specs]) => [
          service,
          specs.map(({softwareVersion}) => softwareVersion),
        ]),
      ),
      nowMs,
    );
    for (const id of previousIds) {
      if (this.byId.has(id)) continue;
      this.removed.set(id, true);
      this.lastResponseMs.delete(id);
    }
  }

  /** Service of a registered upstream; undefined for others. */
  serviceOf(instanceId: string): string | undefined {
    return this.serviceById.get(instanceId);
  }

  /**
   * Whether a service has an upstream that stays and is not one of those given,
   * with a software version unless that is null.
   */
  hasOther(
    service: string,
    softwareVersion: string | null,
    instanceIds: readonly string[],
  ): boolean {
    return [...this.byId.values()].some(
      spec =>
        this.serviceById.get(spec.instanceId) === service &&
        !spec.isLeaving &&
        !instanceIds.includes(spec.instanceId) &&
        (softwareVersion === null || spec.softwareVersion === softwareVersion),
    );
  }

  /** Records a complete response, at a monotonic time in milliseconds. */
  recordResponse(instanceId: string, atMs: number): void {
    if (this.byId.has(instanceId)) this.lastResponseMs.set(instanceId, atMs);
  }

  /** Records that a connection broke or could not be established. */
  recordConnectionFailure(instanceId: string): void {
    this.recordResponse(instanceId, CONNECTION_FAILED);
  }

  /**
   * Whether an upstream is leaving or was removed. False for one that was never
   * registered here, as it may be newer than this member's list.
   */
  isLeaving({instanceId}: UpstreamSpec): boolean {
    return this.byId.get(instanceId)?.isLeaving ?? this.removed.has(instanceId);
  }

  /**
   * Whether a newer life of an upstream is registered here than the one given,
   * which may run other software.
   */
  isReplaced({instanceId, startedAtUnixMs}: UpstreamSpec): boolean {
    const registered = this.byId.get(instanceId);
    // A granted upstream may also be newer than this member's list.
    return (registered?.startedAtUnixMs ?? 0) > (startedAtUnixMs ?? 0);
  }

  /**
   * Up to `limit` other upstreams in the same zone that are not leaving, first
   * those that responded last, since some of the others may be down.
   */
  othersInZone(
    {instanceId, zone}: UpstreamSpec,
    limit: number,
  ): UpstreamSpec[] {
    const lastMs = (spec: UpstreamSpec): number =>
      this.lastResponseMs.get(spec.instanceId) ?? 0;
    return [...this.byId.values()]
      .filter(spec => spec.zone === zone && spec.instanceId !== instanceId)
      .filter(spec => !spec.isLeaving)
      .sort((a, b) => lastMs(b) - lastMs(a))
      .slice(0, limit);
  }
}
