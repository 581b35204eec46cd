import type {UpstreamSpec} from '@fescuespool/scheduling';
import {LRUCache} from 'lru-cache';
import {MAX_REMOVED_UPSTREAMS} from './constants.js';
import type {UpstreamsByService} from './dispatcher.js';

/** The upstreams that are listed now, and those that were. */
export class UpstreamRegistry {
  private readonly present = new Map<string, UpstreamSpec>();
  private readonly gone = new LRUCache<string, true>({
    max: MAX_REMOVED_UPSTREAMS,
  });

  /** Whether no upstream is listed. */
  get isEmpty(): boolean {
    return this.present.size === 0;
  }

  /** Replaces the list. */
  replace(upstreams: UpstreamsByService): void {
    const before = [...this.present.keys()];
    this.present.clear();
    for (const specs of upstreams.values()) {
      for (const spec of specs) this.present.set(spec.instanceId, spec);
    }
    for (const id of before) {
      if (!this.present.has(id)) this.gone.set(id, true);
    }
  }

  /** Whether an upstream leaves or is gone. One never seen here may be new. */
  isLeaving({instanceId}: UpstreamSpec): boolean {
    return this.present.get(instanceId)?.isLeaving ?? this.gone.has(instanceId);
  }

  /** Other upstreams in the zone of one, at most some of them. */
  othersInZone({instanceId, zone}: UpstreamSpec, most: number): UpstreamSpec[] {
    return [...this.present.values()]
      .filter(spec => spec.zone === zone && spec.instanceId !== instanceId)
      .filter(spec => !spec.isLeaving)
      .slice(0, most);
  }
}
