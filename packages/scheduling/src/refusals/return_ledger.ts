import {LRUCache} from 'lru-cache';
import {
  MAX_REFUSED_FINGERPRINTS,
  REFUSED_FINGERPRINT_TTL_MS,
} from '../constants.js';

/**
 * Maximum number of refusals that are remembered for one fingerprint: requests
 * without a body share theirs.
 */
const MAX_REFUSALS_PER_FINGERPRINT = 16;

/** Milliseconds by which a caller may come early, as its clock may differ. */
const EARLY_TOLERANCE_MS = 50;

/** A refusal of which the caller was told when to come back. */
export interface ToldReturn {
  /** Time at which it should come back. */
  readonly atMs: number;
  /** Whether room is set aside for it then. */
  readonly isPromised: boolean;
  /** Time by which its first attempt should have been answered. */
  readonly objectiveAtMs: number;
}

/** Counts of refused requests that were told when to come back. */
export interface ReturnCounts {
  /** Refusals that told when to come back. */
  readonly told: number;
  /** Requests that came back when they were told to. */
  readonly returned: number;
  /** Those of them that were refused again. */
  readonly refusedAgain: number;
}

/** Remembers who was told to come back when, and counts what became of them. */
export class ReturnLedger {
  private readonly refusals = new LRUCache<string, ToldReturn[]>({
    max: MAX_REFUSED_FINGERPRINTS,
    ttl: REFUSED_FINGERPRINT_TTL_MS,
  });
  private told = 0;
  private returned = 0;
  private refusedAgain = 0;

  /** Numbers since the queue was opened. */
  get counts(): ReturnCounts {
    const {told, returned, refusedAgain} = this;
    return {told, returned, refusedAgain};
  }

  /** Records that the caller of a request was told when to come back. */
  recordTold(fingerprint: string, told: ToldReturn): void {
    this.told++;
    const others = this.refusals.get(fingerprint) ?? [];
    const kept = [...others, told].slice(-MAX_REFUSALS_PER_FINGERPRINT);
    this.refusals.set(fingerprint, kept);
  }

  /**
   * The refusal after which a request comes back, which counts as kept to; null
   * for a new request, or for one that came sooner than it was told to.
   */
  takeKept(fingerprint: string, nowMs: number): ToldReturn | null {
    const refusals = this.refusals.get(fingerprint) ?? [];
    const kept = refusals.find(({atMs}) => nowMs >= atMs - EARLY_TOLERANCE_MS);
    if (!kept) return null;
    const others = refusals.filter(told => told !== kept);
    if (others.length === 0) this.refusals.delete(fingerprint);
    else this.refusals.set(fingerprint, others);
    this.returned++;
    return kept;
  }

  /** Counts a request that came back and was refused again. */
  recordRefusedAgain(): void {
    this.refusedAgain++;
  }
}
