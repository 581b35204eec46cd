import type {PlacementRate, RateEstimator} from '../placement_rate.js';
import type {GrantRequest} from '../types.js';
import type {ArrivalRates} from './arrival_rates.js';

/**
 * Smallest share of the room that a tier is expected to get, as bursts of higher
 * tiers pass.
 */
const MIN_ROOM_SHARE = 0.1;

/**
 * Rates of placement that are left to each tier while requests of higher tiers go
 * on arriving.
 */
export function ratesBelowArrivals(
  {rateFor, differsByGateway}: RateEstimator,
  arrivals: ArrivalRates,
  nowMs: number,
): RateEstimator {
  const perMsAbove = new Map<number, number>();
  const lowered = new Map<PlacementRate, Map<number, PlacementRate>>();
  const lower = (rate: PlacementRate, tier: number): PlacementRate => {
    const above = perMsAbove.get(tier) ?? arrivals.perMsAbove(tier, nowMs);
    perMsAbove.set(tier, above);
    const perMs = (): number =>
      Math.max(MIN_ROOM_SHARE * rate.perMs(), rate.perMs() - above);
    return {...rate, perMs};
  };
  return {
    differsByGateway,
    rateFor: (request: GrantRequest) => {
      const rate = rateFor(request);
      const byTier = lowered.get(rate) ?? new Map<number, PlacementRate>();
      lowered.set(rate, byTier);
      const known = byTier.get(request.tier) ?? lower(rate, request.tier);
      byTier.set(request.tier, known);
      return known;
    },
  };
}
