/** Time constant in milliseconds of the rates: rides out gaps, follows a burst. */
const SMOOTHING_MS = 1_000;

/** Maximum number of tiers that are counted; bounds memory. */
const MAX_TIERS = 128;

interface TierArrivals {
  /** Arrivals, decayed. */
  count: number;
  countedAtMs: number;
}

/** Counts admitted requests by tier, as later ones may go before one that waits. */
export class ArrivalRates {
  private readonly tiers = new Map<number, TierArrivals>();

  /** Counts a request that was admitted. */
  record(tier: number, nowMs: number): void {
    const arrivals = this.tiers.get(tier);
    if (arrivals) {
      arrivals.count = decayed(arrivals, nowMs) + 1;
      arrivals.countedAtMs = nowMs;
    } else if (this.tiers.size < MAX_TIERS) {
      this.tiers.set(tier, {count: 1, countedAtMs: nowMs});
    }
  }

  /** Requests of higher tiers that arrive per millisecond. */
  perMsAbove(tier: number, nowMs: number): number {
    let count = 0;
    for (const [other, arrivals] of this.tiers) {
      // A single arrival is no sign that more will come.
      if (other < tier) count += Math.max(0, decayed(arrivals, nowMs) - 1);
    }
    return count / SMOOTHING_MS;
  }
}

function decayed({count, countedAtMs}: TierArrivals, nowMs: number): number {
  return count * Math.exp((countedAtMs - nowMs) / SMOOTHING_MS);
}
