import type {ValueOf} from '@fescuespool/common';
import type {EndReport, GrantRequest, UpstreamSpec} from '../types.js';
import type {ROLLOUT_STATE} from './constants.js';

/** State of a roll-out, as the operator reads it. */
export type RolloutState = ValueOf<typeof ROLLOUT_STATE>;

/** What a version may get and how soon it must be rolled back. */
export interface RolloutBounds {
  /** Share of a service's requests that a bad version may get. */
  readonly exposeShare: number;
  /** Requests that it may get besides. */
  readonly exposeSlack: number;
  /** Milliseconds after many bad answers for which it may still get requests. */
  readonly rollbackMs: number;
}

/** An operator's order to move a service to a software version. */
export interface RolloutOrder {
  readonly target: string;
  /** Milliseconds within which the roll-out is to be decided. */
  readonly durationMs: number;
}

/** Evidence on the target's answers to the requests of one route. */
export interface RouteEvidence {
  readonly route: string;
  readonly good: number;
  readonly bad: number;
  /** Log likelihood ratio for a bad version, from 0. */
  readonly alarm: number;
  /** Log likelihood ratio for a good version, from 0. */
  readonly proof: number;
}

/** What is kept of a roll-out beyond the life of its gateways. */
export interface RolloutRecord extends RolloutOrder {
  readonly state: RolloutState;
  /** Whether all new requests go to the target. */
  readonly isMoving: boolean;
  /** Milliseconds since the order, at least. */
  readonly elapsedMs: number;
  /** Requests that reached the service since the order, at least. */
  readonly arrived: number;
  /** Requests to the target that owners were permitted. */
  readonly permitted: number;
  /** Other versions that served when the order came or when it completed. */
  readonly servingVersions: readonly string[];
  /** Versions that may get no request: rolled back, or given up. */
  readonly barredVersions: readonly string[];
  /** Why it is in its state, for operators. */
  readonly reason: string;
  readonly routes: readonly RouteEvidence[];
}

/** An upstream as the queue sees it. */
export interface ObservedUpstream {
  readonly spec: UpstreamSpec;
  /** Requests that run there. */
  readonly running: number;
  /** Whether requests can be placed there. */
  readonly isUsable: boolean;
}

/** Decides which versions of a service may get a request. */
export interface VersionGate {
  /** Whether a roll-out restricts any version. */
  readonly isActive: boolean;
  /** Whether general traffic may go to an upstream. */
  readonly admits: (spec: UpstreamSpec) => boolean;
  /** Whether a stream that began at an upstream's version may go on there. */
  readonly admitsBound: (spec: UpstreamSpec, nowMs: number) => boolean;
  /** Upstreams at which a request is to be tried, from those with room. */
  readonly trialUpstreams: <T extends {readonly spec: UpstreamSpec}>(
    request: GrantRequest,
    withRoom: readonly T[],
    nowMs: number,
  ) => readonly T[];
  /** Records a grant; returns whether it was made to a target under a permit. */
  readonly recordGrant: (
    request: GrantRequest,
    spec: UpstreamSpec,
    nowMs: number,
  ) => boolean;
  /** Records the end of a granted request. */
  readonly recordEnd: (report: EndReport, nowMs: number) => void;
  /** Takes the state of all upstreams and judges answers that are missing. */
  readonly observe: (
    upstreams: readonly ObservedUpstream[],
    nowMs: number,
  ) => void;
}
