import {QUEUE_REFUSAL} from './constants.js';
import type {GrantRequest, QueueRefusal, UpstreamSpec} from './types.js';

/** Whether an upstream has the software version that a request needs. */
export function hasRequiredVersion(
  {requiredVersion}: GrantRequest,
  {softwareVersion}: UpstreamSpec,
): boolean {
  return requiredVersion === null || requiredVersion === softwareVersion;
}

/** What a request lacks among the upstreams that stay; null for nothing. */
export function lackOf(
  request: GrantRequest,
  staying: readonly UpstreamSpec[],
): QueueRefusal | null {
  if (staying.length === 0) return QUEUE_REFUSAL.NO_UPSTREAM;
  const hasVersion = staying.some(spec => hasRequiredVersion(request, spec));
  return hasVersion ? null : QUEUE_REFUSAL.NO_VERSION;
}
