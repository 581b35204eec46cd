import type {RouteHistory} from './route_history.js';
import type {
  OriginRecord,
  StreamOrigin,
  VersionHistory,
} from './stream_origin.js';
import type {Route} from './types.js';

/** The service and software version at which a stream goes on. */
export type ResumePlace = Pick<StreamOrigin, 'service' | 'softwareVersion'>;

/**
 * Tells where streams of a route can have begun that may still be resumed, from
 * what this member has seen and what all members recorded.
 */
export class OriginHistory {
  constructor(
    readonly versions: VersionHistory,
    readonly routes: RouteHistory,
    private readonly nowMs: () => number,
    /** Whether all members, as builds that may be older, go by the record. */
    private readonly doAllGoByRecord: () => boolean,
  ) {}

  /** Applies the members' record. */
  recall(record: OriginRecord): void {
    const nowMs = this.nowMs();
    const {movedRoutes, configVersion} = record;
    if (record.isComplete) {
      this.routes.recall(movedRoutes, configVersion, nowMs);
    }
    this.versions.recall(record, nowMs);
  }

  /**
   * Whether a stream of a route that nobody knows would be found to have begun
   * there, so that members need not be told of it.
   */
  implies({service, softwareVersion}: ResumePlace, route: Route): boolean {
    const nowMs = this.nowMs();
    return (
      this.routes.willBeRecorded(nowMs) &&
      this.routes.soleServiceOf(route, nowMs) === service &&
      this.versions.implies({service, softwareVersion}, nowMs) &&
      this.doAllGoByRecord()
    );
  }

  /** Whether the record covers the past and the configuration in force. */
  get isComplete(): boolean {
    return (
      this.versions.isComplete(this.nowMs()) &&
      (!this.versions.hasRecord || this.routes.isRecorded)
    );
  }

  /** Where all streams of a route began; null if there may be several places. */
  solePlaceOf(route: Route): ResumePlace | null {
    const nowMs = this.nowMs();
    const service = this.routes.soleServiceOf(route, nowMs);
    if (service === null) return null;
    const softwareVersion = this.versions.soleVersionOf(service, nowMs);
    return softwareVersion === null ? null : {service, softwareVersion};
  }
}
