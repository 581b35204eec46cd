import type {GrantRequest, UpstreamSpec} from './types.js';

/** Whether an upstream has the software version that a request needs. */
export function hasRequiredVersion(
  {requiredVersion}: GrantRequest,
  {softwareVersion}: UpstreamSpec,
): boolean {
  return requiredVersion === null || requiredVersion === softwareVersion;
}
