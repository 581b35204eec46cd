import type {UpstreamSpec} from '@fescuespool/scheduling';
import {LRUCache} from 'lru-cache';
import {MAX_REMOVED_UPSTREAMS} from './constants.js';
import type {UpstreamsByService} from './dispatcher.js';

/** Tracks the currently registered upstreams and recently removed ones. */
export class UpstreamRegistry {
  private readonly byId = new Map<string, UpstreamSpec>();
  private readonly removed = new LRUCache<string, true>({
    max: MAX_REMOVED_UPSTREAMS,
  });

  /** Whether no upstream is registered. */
  get isEmpty(): boolean {
    return this.byId.size === 0;
  }

  /**
   * Replaces the registered upstreams and remembers those that were removed.
   */
  replace(upstreams: UpstreamsByService): void {
    const previousIds = [...this.byId.keys()];
    this.byId.clear();
    for (const specs of upstreams.values()) {
      for (const spec of specs) this.byId.set(spec.instanceId, spec);
    }
    for (const id of previousIds) {
      if (!this.byId.has(id)) this.removed.set(id, true);
    }
  }

  /**
   * Whether an upstream is leaving or was removed. False for one that was never
   * registered here, as it may be newer than this member's list.
   */
  isLeaving({instanceId}: UpstreamSpec): boolean {
    return this.byId.get(instanceId)?.isLeaving ?? this.removed.has(instanceId);
  }

  /** Up to `limit` other upstreams in the same zone that are not leaving. */
  othersInZone(
    {instanceId, zone}: UpstreamSpec,
    limit: number,
  ): UpstreamSpec[] {
    return [...this.byId.values()]
      .filter(spec => spec.zone === zone && spec.instanceId !== instanceId)
      .filter(spec => !spec.isLeaving)
      .slice(0, limit);
  }
}
