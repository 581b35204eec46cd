import type {UpstreamSpec} from '../types.js';
import {ROLLOUT_STATE} from './constants.js';
import type {RolloutRecord, VersionGate} from './types.js';

/** Gate of a service without a roll-out. */
export const OPEN_GATE: VersionGate = {
  isActive: false,
  admits: () => true,
  admitsBound: () => true,
  trialUpstreams: () => [],
  recordGrant: () => false,
  recordEnd: () => undefined,
  observe: () => undefined,
};

/** Gate of a service in which given versions get no request. */
export function closedGate(
  isBarred: (spec: UpstreamSpec) => boolean,
  /** Whether the members that send are told that a version is permitted. */
  isPermitted: (spec: UpstreamSpec) => boolean,
): VersionGate {
  const admits = (spec: UpstreamSpec): boolean => !isBarred(spec);
  return {
    ...OPEN_GATE,
    isActive: true,
    admits,
    admitsBound: admits,
    recordGrant: (_request, spec) => isPermitted(spec),
  };
}

/**
 * Whether a record keeps all requests from a version. While a roll-out runs, the
 * target gets some, but only from the owner of the queue.
 */
export function barsVersion(
  {state, target, servingVersions, barredVersions}: RolloutRecord,
  version: string | null,
): boolean {
  if (version === null) return false;
  if (barredVersions.includes(version)) return true;
  if (version === target) return state === ROLLOUT_STATE.ROLLED_BACK;
  return state === ROLLOUT_STATE.COMPLETED && servingVersions.includes(version);
}
