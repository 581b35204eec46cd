import type {GrantRequest} from '../types.js';
import {TierShares} from './tier_shares.js';

/** Maximum number of tiers in which accounts are told apart; bounds memory. */
const MAX_SHARED_TIERS = 128;

/**
 * Tells, for each tier, which client accounts have had more than their share of
 * the room that others waited for. Kept by the owner of a queue, in memory only.
 */
export class AccountShares {
  private readonly tiers = new Map<number, TierShares>();

  /** Records that a request wants room. */
  recordWanted(request: GrantRequest, nowMs: number): void {
    this.tierOf(request)?.recordWanted(request, nowMs);
  }

  /** Records that a request got room that others waited for. */
  recordContested(request: GrantRequest, nowMs: number): void {
    this.tierOf(request)?.recordContested(request, nowMs);
  }

  /** How far the account of a request is over its share; 0 if it is not. */
  levelOf(request: GrantRequest, nowMs: number): number {
    if (request.account === null) return 0;
    return this.tiers.get(request.tier)?.levelOf(request, nowMs) ?? 0;
  }

  /** Null also for requests of no known account, which may be of several. */
  private tierOf({tier, account}: GrantRequest): TierShares | null {
    if (account === null) return null;
    const existing = this.tiers.get(tier);
    if (existing) return existing;
    if (this.tiers.size >= MAX_SHARED_TIERS) return null;
    const created = new TierShares();
    this.tiers.set(tier, created);
    return created;
  }
}
