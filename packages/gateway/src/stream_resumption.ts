import type {OriginHistory, ResumePlace} from './origin_history.js';
import {servicesOf} from './route_history.js';
import type {OriginLookup} from './stream_origin.js';
import {UNKNOWN_VERSION} from './stream_origin.js';
import type {Route} from './types.js';

/**
 * Decides where a stream that its caller takes up goes on; null if it can't.
 */
export function placeToResume(
  route: Route,
  resumedRequestId: string | null,
  {origin, isCertain}: OriginLookup,
  history: Pick<OriginHistory, 'isComplete' | 'solePlaceOf'>,
): ResumePlace | null {
  if (origin) {
    const isKnown = origin.softwareVersion !== UNKNOWN_VERSION;
    return isKnown && servicesOf(route).includes(origin.service)
      ? origin
      : null;
  }
  // If there was one place only, the stream began there; a member that got no
  // answer may not know of others. Nobody can be asked about a stream that its
  // caller does not name.
  const isSure = resumedRequestId === null || isCertain;
  return isSure && history.isComplete ? history.solePlaceOf(route) : null;
}
