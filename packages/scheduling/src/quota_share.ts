/** How a member goes on after an exchange of usage with the others. */
export interface ShareAfterExchange {
  /** Share of each quota, from 0 to 1, that the member may use. */
  readonly share: number;
  /** Part of the usage that the others told which its buckets have to cover. */
  readonly coveredPart: number;
}

/**
 * The share of a member after an exchange, by the members that the hub heard; null
 * while it can't tell. What members outside of a member's share have used came out
 * of theirs.
 */
export function shareAfterExchange(
  shareBefore: number,
  heard: number | null,
  memberCount: number,
): ShareAfterExchange {
  if (heard === null) {
    // Nothing tells whose usage it is while the hub may not have heard all.
    return shareBefore === 1
      ? {share: 1, coveredPart: 1}
      : {share: Math.min(shareBefore, 1 / memberCount), coveredPart: 0};
  }
  const share = Math.min(1, heard / memberCount);
  return {share, coveredPart: Math.min(1, shareBefore / share)};
}
