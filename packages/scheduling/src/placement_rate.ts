import type {LatencyEstimator} from './latency_estimator.js';
import {hasRequiredVersion} from './required_version.js';
import type {GrantRequest} from './types.js';
import type {UpstreamRateLimiter} from './upstream_rate_limiter.js';
import type {UpstreamState} from './upstream_state.js';

/** How fast requests of one kind are placed. */
export interface PlacementRate {
  /**
   * Placements per millisecond; 0 if it can't be predicted. Computed when first
   * asked for, as most requests wait behind no other.
   */
  readonly perMs: () => number;
  /** Milliseconds until the first of them. */
  readonly firstInMs: number;
  /** Whether requests that need some software version take part in it. */
  readonly includesBound: boolean;
}

/** Estimates how fast requests like the given one are placed. */
export type RateEstimator = (request: GrantRequest) => PlacementRate;

/**
 * Creates an estimator for the usable upstreams. Requests that need a software
 * version are placed first there, so that the others count on the remaining
 * upstreams, if there are any.
 */
export function createRateEstimator(
  usable: readonly UpstreamState[],
  boundVersions: ReadonlySet<string>,
  latency: LatencyEstimator,
  rateLimiter: UpstreamRateLimiter,
  nowMs: number,
): RateEstimator {
  const unbound =
    boundVersions.size === 0
      ? usable
      : usable.filter(
          ({spec}) => !boundVersions.has(spec.softwareVersion ?? ''),
        );
  const rateOf = (
    states: readonly UpstreamState[],
    includesBound: boolean,
  ): PlacementRate => {
    let known: number | null = null;
    const perMs = (): number =>
      (known ??= latency.placementsPerMs(states, ({spec}) =>
        rateLimiter.maxPerMs(spec, nowMs),
      ));
    const firstInMs = shortestWaitMs(states, rateLimiter, nowMs);
    return {perMs, firstInMs, includesBound};
  };
  const rates = new Map<string | null, PlacementRate>();
  return request => {
    const {requiredVersion} = request;
    const known = rates.get(requiredVersion);
    if (known) return known;
    const isUnbound = requiredVersion === null;
    const rate =
      isUnbound && unbound.length > 0
        ? rateOf(unbound, false)
        : rateOf(
            usable.filter(({spec}) => hasRequiredVersion(request, spec)),
            isUnbound,
          );
    rates.set(requiredVersion, rate);
    return rate;
  };
}

/** Milliseconds until the rate limit of any of the upstreams permits a grant. */
function shortestWaitMs(
  states: readonly UpstreamState[],
  rateLimiter: UpstreamRateLimiter,
  nowMs: number,
): number {
  let shortest = Infinity;
  for (const {spec} of states) {
    shortest = Math.min(shortest, rateLimiter.waitMs(spec, nowMs));
    if (shortest === 0) return 0;
  }
  return shortest === Infinity ? 0 : shortest;
}

/** Counts waiting requests by the upstreams that they need. */
export class AheadCounter {
  private total = 0;
  private readonly byVersion = new Map<string | null, number>();

  /** Counts requests that any upstream may run. */
  addUnbound(count: number): void {
    this.total += count;
    this.byVersion.set(null, (this.byVersion.get(null) ?? 0) + count);
  }

  /** Counts a request. */
  add({requiredVersion}: GrantRequest): void {
    this.total++;
    const before = this.byVersion.get(requiredVersion) ?? 0;
    this.byVersion.set(requiredVersion, before + 1);
  }

  /**
   * Milliseconds until a request behind the counted ones is placed;
   * `unknownWaitMs` if that can't be predicted.
   */
  waitMs(
    {requiredVersion}: GrantRequest,
    {perMs, firstInMs, includesBound}: PlacementRate,
    unknownWaitMs: number,
  ): number {
    const ahead = includesBound
      ? this.total
      : (this.byVersion.get(requiredVersion) ?? 0);
    if (ahead === 0) return firstInMs;
    const rate = perMs();
    return rate === 0 ? unknownWaitMs : firstInMs + ahead / rate;
  }
}
