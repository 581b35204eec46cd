import type {PlacementRate, RateEstimator} from '../placement_rate.js';
import type {WaitingRequest} from '../waiting_request.js';
import type {ArrivalRates} from './arrival_rates.js';

/**
 * Smallest share of the room that a request is expected to compete for, as bursts
 * of those that go before it pass.
 */
const MIN_ROOM_SHARE = 0.1;

/** How fast requests like a waiting one are placed. */
export type RateOf = (waiting: WaitingRequest) => PlacementRate;

/** Whether new requests of its own tier go before a waiting one. */
function yieldsToNew({
  isLate,
  isPromised,
  shareLevel,
}: WaitingRequest): boolean {
  return shareLevel > 0 || (isLate && !isPromised);
}

/**
 * The rates that are left to waiting requests while others that go before them
 * arrive.
 */
export function ratesBesideArrivals(
  {rateFor}: RateEstimator,
  arrivals: ArrivalRates,
  nowMs: number,
): RateOf {
  const perMsBefore = new Map<number, number>();
  const lowered = new Map<PlacementRate, Map<number, PlacementRate>>();
  const lower = (rate: PlacementRate, limit: number): PlacementRate => {
    const before = perMsBefore.get(limit) ?? arrivals.perMsAbove(limit, nowMs);
    perMsBefore.set(limit, before);
    const perMs = (): number =>
      Math.max(MIN_ROOM_SHARE * rate.perMs(), rate.perMs() - before);
    return {...rate, perMs};
  };
  return waiting => {
    const {request, wasRefused} = waiting;
    const rate = rateFor(request);
    // Its caller won't come back once more, so that any gap is worth its wait.
    if (wasRefused) return rate;
    // New requests of the tiers above this number go first.
    const limit = request.tier + (yieldsToNew(waiting) ? 1 : 0);
    const byLimit = lowered.get(rate) ?? new Map<number, PlacementRate>();
    lowered.set(rate, byLimit);
    const known = byLimit.get(limit) ?? lower(rate, limit);
    byLimit.set(limit, known);
    return known;
  };
}
