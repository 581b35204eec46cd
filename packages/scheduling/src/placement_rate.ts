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
  /**
   * Gateway that can't place such requests, because all upstreams want none from
   * it for a while; null if it can.
   */
  readonly heldGateway: string | null;
}

/** Estimates how fast requests are placed. */
export interface RateEstimator {
  /** How fast requests like the given one are placed. */
  readonly rateFor: (request: GrantRequest) => PlacementRate;
  /** Whether that may differ by the gateway of the request. */
  readonly differsByGateway: boolean;
}

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
    request: GrantRequest,
    states: readonly UpstreamState[],
    includesBound: boolean,
    heldGateway: string | null,
  ): PlacementRate => {
    let known: number | null = null;
    const perMs = (): number =>
      (known ??= latency.placementsPerMs(states, ({spec}) =>
        rateLimiter.maxPerMs(spec, nowMs),
      ));
    const firstInMs = shortestWaitMs(states, ({spec}) =>
      rateLimiter.waitMsFor(request, spec, nowMs),
    );
    return {perMs, firstInMs, includesBound, heldGateway};
  };
  const differsByGateway = rateLimiter.hasPauses(nowMs);
  const estimate = (request: GrantRequest): PlacementRate => {
    const isOpen = ({spec}: UpstreamState): boolean =>
      !rateLimiter.isPausedFor(request, spec, nowMs);
    const isUnbound = request.requiredVersion === null;
    const open = isUnbound ? unbound.filter(isOpen) : [];
    if (open.length > 0) return rateOf(request, open, false, null);
    const fit = usable.filter(({spec}) => hasRequiredVersion(request, spec));
    const openFit = fit.filter(isOpen);
    const isHeld = fit.length > 0 && openFit.length === 0;
    return isHeld
      ? rateOf(request, fit, isUnbound, request.entryId)
      : rateOf(request, openFit, isUnbound, null);
  };
  const byGateway = new Map<string, Map<string | null, PlacementRate>>();
  const rateFor = (request: GrantRequest): PlacementRate => {
    const isOwn = rateLimiter.hasPausesFor(request, nowMs);
    const gatewayKey = isOwn ? request.entryId : '';
    const rates = byGateway.get(gatewayKey) ?? new Map();
    byGateway.set(gatewayKey, rates);
    const rate = rates.get(request.requiredVersion) ?? estimate(request);
    rates.set(request.requiredVersion, rate);
    return rate;
  };
  return {rateFor, differsByGateway};
}

/** The shortest time until any of the upstreams permits a grant. */
function shortestWaitMs(
  states: readonly UpstreamState[],
  waitMs: (state: UpstreamState) => number,
): number {
  let shortest = Infinity;
  for (const state of states) {
    shortest = Math.min(shortest, waitMs(state));
    if (shortest === 0) return 0;
  }
  return shortest === Infinity ? 0 : shortest;
}

/** Counts waiting requests by the upstreams that they need. */
export class AheadCounter {
  private total = 0;
  private readonly byVersion = new Map<string | null, number>();
  /** Requests that only wait for pauses to end, which holds up no others. */
  private readonly heldByGateway = new Map<string, number>();

  /** Counts requests that any upstream may run. */
  addUnbound(count: number): void {
    this.total += count;
    this.byVersion.set(null, (this.byVersion.get(null) ?? 0) + count);
  }

  /** Counts a request, at the rate for such requests. */
  add({requiredVersion}: GrantRequest, {heldGateway}: PlacementRate): void {
    if (heldGateway !== null) {
      const held = this.heldByGateway.get(heldGateway) ?? 0;
      this.heldByGateway.set(heldGateway, held + 1);
      return;
    }
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
    {perMs, firstInMs, includesBound, heldGateway}: PlacementRate,
    unknownWaitMs: number,
  ): number {
    const held = this.heldByGateway.get(heldGateway ?? '') ?? 0;
    const ahead =
      held +
      (includesBound ? this.total : (this.byVersion.get(requiredVersion) ?? 0));
    if (ahead === 0) return firstInMs;
    const rate = perMs();
    return rate === 0 ? unknownWaitMs : firstInMs + ahead / rate;
  }
}
