import type {GatewayContext} from './gateway_context.js';
import type {OpenRequest} from './open_request.js';
import type {OriginLookup} from './stream_origin.js';
import type {ResumePlace} from './stream_resumption.js';
import {placeToResume} from './stream_resumption.js';

/**
 * Finds where a stream that its caller takes up goes on, and records that it is
 * served here; null if it can't go on.
 */
export async function findResumePlace(
  gateway: GatewayContext,
  {admission, head}: OpenRequest,
): Promise<ResumePlace | null> {
  const {upstreams, clock, configState, streamOrigins, log} = gateway;
  const {resumedRequestId, requestId} = head;
  const lookup = await findOrigin(gateway, resumedRequestId);
  const place = placeToResume(
    admission.route,
    resumedRequestId,
    lookup,
    upstreams.versions,
    clock.monotonicMs(),
  );
  log.info('stream_place_decided', {
    id: requestId,
    resumes: resumedRequestId ?? undefined,
    basis: toBasis(lookup, place),
    service: place?.service,
    version: place?.softwareVersion,
    viewAgeMs: Math.round(configState.ageMs),
  });
  if (place && resumedRequestId !== null) {
    const send = lookup.origin?.send ?? 1;
    void streamOrigins.share(resumedRequestId, {...place, send});
  }
  return place;
}

/** Finds where a stream began, or that nobody knows as of now. */
async function findOrigin(
  {streamOrigins}: GatewayContext,
  resumedRequestId: string | null,
): Promise<OriginLookup> {
  if (resumedRequestId === null) return {origin: null, isCertain: false};
  return streamOrigins.find(resumedRequestId);
}

/** Log field: what the decision rests on. */
function toBasis(
  {origin}: OriginLookup,
  place: ResumePlace | null,
): 'origin' | 'sole_version' | 'none' {
  if (!place) return 'none';
  return origin ? 'origin' : 'sole_version';
}
