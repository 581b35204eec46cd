import type {UpstreamLife, UpstreamSpec} from '@fescuespool/scheduling';
import {upstreamLifeKey} from '@fescuespool/scheduling';
import {LRUCache} from 'lru-cache';
import {MAX_LEAVING_TOLD, MAX_REMOVED_UPSTREAMS} from './constants.js';
import type {UpstreamsByService} from './dispatcher.js';
import {VersionHistory} from './stream_origin.js';

/** Sorts an upstream behind those that have not been used yet. */
const CONNECTION_FAILED = -1;

/** A life of an upstream that said it leaves, with its service. */
export interface LeavingUpstream extends UpstreamLife {
  readonly service: string;
}

/**
 * Tracks the currently registered upstreams, recently removed ones, and those
 * that said they leave, whatever their entries say.
 */
export class UpstreamRegistry {
  private readonly byId = new Map<string, UpstreamSpec>();
  /** Software versions of the services. */
  readonly versions = new VersionHistory();
  private registeredAddresses: ReadonlySet<string> = new Set();
  /** The registered upstreams as their entries list them. */
  private listed: UpstreamsByService = new Map();
  /** The same, where those that said they leave are marked. */
  private registered: UpstreamsByService = new Map();
  private unlistedLeaving: readonly LeavingUpstream[] = [];
  private readonly serviceById = new Map<string, string>();
  /**
   * Monotonic milliseconds of each upstream's last complete response, or
   * CONNECTION_FAILED if a connection to it has failed since then.
   */
  private readonly lastResponseMs = new Map<string, number>();
  private readonly removed = new LRUCache<string, true>({
    max: MAX_REMOVED_UPSTREAMS,
  });
  /** Lives that said they leave. */
  private readonly leavingTold = new LRUCache<string, true>({
    max: MAX_LEAVING_TOLD,
  });

  /** Whether no upstream is registered. */
  get isEmpty(): boolean {
    return this.byId.size === 0;
  }

  /** Addresses of the registered upstreams. */
  get addresses(): ReadonlySet<string> {
    return this.registeredAddresses;
  }

  /** The registered upstreams; those that said they leave are marked. */
  get byService(): UpstreamsByService {
    return this.registered;
  }

  /** Registered upstreams that said they leave but are not listed so. */
  get leavingButListed(): readonly LeavingUpstream[] {
    return this.unlistedLeaving;
  }

  /**
   * Replaces the registered upstreams and remembers those that were removed, at a
   * monotonic time in milliseconds.
   */
  replace(upstreams: UpstreamsByService, nowMs: number): void {
    const previousIds = [...this.byId.keys()];
    this.listed = upstreams;
    this.markLeaving();
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

  /**
   * Records that a life of an upstream said it leaves; false if that is known. A
   * later life under its id is not affected.
   */
  recordLeaving(life: UpstreamLife): boolean {
    const key = upstreamLifeKey(life);
    if (this.leavingTold.get(key)) return false;
    this.leavingTold.set(key, true);
    this.markLeaving();
    return true;
  }

  /** Whether a life of an upstream has said that it leaves. */
  hasSaidLeaving(life: UpstreamLife): boolean {
    return this.leavingTold.has(upstreamLifeKey(life));
  }

  /** The upstreams registered at an address. */
  registeredAt(address: string): UpstreamSpec[] {
    return [...this.byId.values()].filter(spec => spec.address === address);
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

  /** The version at which a new stream of a service has to begin; null for any. */
  versionToBegin(service: string): string | null {
    const staying = (this.registered.get(service) ?? [])
      .filter(({isLeaving}) => !isLeaving)
      .map(({softwareVersion}) => softwareVersion);
    return this.versions.versionToBegin(service, staying);
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
  isLeaving(spec: UpstreamSpec): boolean {
    if (this.hasSaidLeaving(spec)) return true;
    const {instanceId, startedAtUnixMs} = spec;
    const registered = this.byId.get(instanceId);
    if (!registered) return this.removed.has(instanceId);
    const isEarlierLife =
      (registered.startedAtUnixMs ?? 0) < (startedAtUnixMs ?? 0);
    return registered.isLeaving && !isEarlierLife;
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

  /** Marks the listed upstreams that said they leave. */
  private markLeaving(): void {
    this.byId.clear();
    this.serviceById.clear();
    const registered = new Map<string, UpstreamSpec[]>();
    const unlisted: LeavingUpstream[] = [];
    for (const [service, specs] of this.listed) {
      const marked = specs.map(spec => {
        // Keeps it among the lives that were asked for last.
        const isTold = this.leavingTold.get(upstreamLifeKey(spec)) === true;
        if (!isTold || spec.isLeaving) return spec;
        const {instanceId, startedAtUnixMs} = spec;
        unlisted.push({service, instanceId, startedAtUnixMs});
        return {...spec, isLeaving: true};
      });
      registered.set(service, marked);
      for (const spec of marked) {
        this.byId.set(spec.instanceId, spec);
        this.serviceById.set(spec.instanceId, service);
      }
    }
    this.registered = registered;
    this.unlistedLeaving = unlisted;
    const all = [...this.byId.values()];
    this.registeredAddresses = new Set(all.map(({address}) => address));
  }
}
