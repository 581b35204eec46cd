/** Maximum number of tiers with promises; bounds memory. */
const MAX_TIERS = 128;

/**
 * Share of the room that is promised to callers who come back. The larger part
 * stays with new requests, which can still meet their objective: were all of it
 * promised, lasting overload would serve every caller late.
 */
const PROMISED_SHARE = 0.25;

/**
 * Share of the time to come back that passes first for those to whom no room is
 * promised: the later, the sooner a burst is over.
 */
const EARLIEST_UNPROMISED = 0.75;

/** Its multiples fill a range evenly, however many there are. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/** When a refused request may come back, in milliseconds from now. */
export interface ReturnWish {
  readonly tier: number;
  /** Time before which it would be refused again. */
  readonly earliestMs: number;
  /** Time up to which its caller waits to come back. */
  readonly latestMs: number;
  /** Requests of its tier that can be placed per millisecond; 0 if none. */
  readonly perMs: number;
}

/** What a refused caller is told. */
export interface ReturnTime {
  /** Milliseconds after which it should come back. */
  readonly afterMs: number;
  /** Whether room is set aside for it then. */
  readonly isPromised: boolean;
}

/**
 * Spreads the callers of a tier who are told to come back over the time ahead, so
 * that no more of them come at once than there will be room for.
 */
export class ReturnSchedule {
  /** Time from which the room of a tier is not promised yet. */
  private readonly freeAtMs = new Map<number, number>();
  private spread = 0;

  /** Promises the first room that a caller can wait for, if there is any. */
  book(wish: ReturnWish, nowMs: number): ReturnTime {
    const {tier, latestMs, perMs} = wish;
    const earliestMs = Math.min(wish.earliestMs, latestMs);
    const told = (ms: number): number => Math.max(1, Math.floor(ms));
    if (perMs <= 0) return {afterMs: told(earliestMs), isPromised: false};
    const freeAtMs = this.freeAtMs.get(tier);
    const freeInMs = freeAtMs === undefined ? 0 : freeAtMs - nowMs;
    const afterMs = Math.max(earliestMs, freeInMs);
    const isTracked = freeAtMs !== undefined || this.freeAtMs.size < MAX_TIERS;
    if (afterMs > latestMs || !isTracked) {
      const spanMs = (1 - EARLIEST_UNPROMISED) * (latestMs - earliestMs);
      const spreadMs = latestMs - spanMs * this.nextSpread();
      return {afterMs: told(spreadMs), isPromised: false};
    }
    this.freeAtMs.set(tier, nowMs + afterMs + 1 / (PROMISED_SHARE * perMs));
    return {afterMs: told(afterMs), isPromised: true};
  }

  /** The next of numbers from 0 to 1 that are evenly spread in any number. */
  private nextSpread(): number {
    this.spread = (this.spread + GOLDEN_RATIO) % 1;
    return this.spread;
  }
}
