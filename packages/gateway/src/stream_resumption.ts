import type {
  OriginLookup,
  StreamOrigin,
  VersionHistory,
} from './stream_origin.js';
import {UNKNOWN_VERSION} from './stream_origin.js';
import type {Route} from './types.js';

/** The service and software version at which a stream goes on. */
export type ResumePlace = Pick<StreamOrigin, 'service' | 'softwareVersion'>;

/**
 * Decides where a stream that its caller takes up goes on; null if it can't.
 */
export function placeToResume(
  {targets}: Pick<Route, 'targets'>,
  resumedRequestId: string | null,
  {origin, isCertain}: OriginLookup,
  versions: VersionHistory,
  nowMs: number,
): ResumePlace | null {
  const services = targets
    .filter(({weight}) => weight > 0)
    .map(({service}) => service);
  if (origin) {
    const isKnown = origin.softwareVersion !== UNKNOWN_VERSION;
    return isKnown && services.includes(origin.service) ? origin : null;
  }
  const [service] = services;
  if (service === undefined || services.length > 1) return null;
  // If there was one version only, the stream began at it; a member that got no
  // answer may not know of others. Nobody can be asked about a stream that its
  // caller does not name.
  const isSure = resumedRequestId === null || isCertain;
  if (!isSure || !versions.isComplete(nowMs)) return null;
  const softwareVersion = versions.soleVersionOf(service, nowMs);
  return softwareVersion === null ? null : {service, softwareVersion};
}
