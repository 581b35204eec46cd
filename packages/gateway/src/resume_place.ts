import {GATEWAY_REFUSAL, NOT_READY_RETRY_AFTER_MS} from './constants.js';
import {GatewayRefusalError} from './errors.js';
import type {GatewayContext} from './gateway_context.js';
import type {OpenRequest} from './open_request.js';
import {
  ORIGIN_RECORD_TIMEOUT_MS,
  VERSION_CONFIRMATION_TIMEOUT_MS,
} from './stream_constants.js';
import type {OriginLookup} from './stream_origin.js';
import type {ResumePlace} from './origin_history.js';
import {placeToResume} from './stream_resumption.js';

/**
 * Finds where a stream that its caller takes up goes on, and records that it is
 * served here. Throws a GatewayRefusalError if it can't go on; with a Retry-After
 * if members or the archive did not answer and may know.
 */
export async function findResumePlace(
  gateway: GatewayContext,
  {admission, head}: OpenRequest,
): Promise<ResumePlace> {
  const {originHistory, configState, streamOrigins, log} = gateway;
  const {resumedRequestId, requestId} = head;
  const lookup = await findOrigin(gateway, resumedRequestId);
  // The record may be about to be read, or written for a new configuration.
  if (!lookup.origin && !originHistory.isComplete) {
    await originHistory.versions.whenRecalled(ORIGIN_RECORD_TIMEOUT_MS);
  }
  const place = placeToResume(
    admission.route,
    resumedRequestId,
    lookup,
    originHistory,
  );
  log.info('stream_place_decided', {
    id: requestId,
    resumes: resumedRequestId ?? undefined,
    basis: toBasis(lookup, place),
    service: place?.service,
    version: place?.softwareVersion,
    viewAgeMs: Math.round(configState.ageMs),
  });
  if (!place) {
    const {hasRecord} = originHistory.versions;
    const isPending = !lookup.origin && !hasRecord;
    const mayKnowSoon = !lookup.isCertain || isPending;
    throw new GatewayRefusalError(
      GATEWAY_REFUSAL.STREAM_NOT_RESUMABLE,
      mayKnowSoon ? NOT_READY_RETRY_AFTER_MS : undefined,
    );
  }
  if (resumedRequestId !== null) {
    const send = lookup.origin?.send ?? 1;
    const origin = {...place, send};
    void streamOrigins.share(resumedRequestId, origin, admission.route);
  }
  return place;
}

/** Finds where a stream began, or that nobody knows as of now. */
async function findOrigin(
  {streamOrigins, configState}: GatewayContext,
  resumedRequestId: string | null,
): Promise<OriginLookup> {
  if (resumedRequestId === null) return {origin: null, isCertain: true};
  const lookup = await streamOrigins.find(resumedRequestId);
  if (lookup.origin || !lookup.isCertain) return lookup;
  // The versions that this member knows may be older than the stream.
  const isConfirmed = await configState.whenConfirmed(
    VERSION_CONFIRMATION_TIMEOUT_MS,
  );
  return {origin: null, isCertain: isConfirmed};
}

/** Log field: what the decision rests on. */
function toBasis(
  {origin}: OriginLookup,
  place: ResumePlace | null,
): 'origin' | 'sole_version' | 'none' {
  if (!place) return 'none';
  return origin ? 'origin' : 'sole_version';
}
