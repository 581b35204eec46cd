/** Part of an upstream that the members which use one queue may use. */
export interface UpstreamShare {
  readonly slots: number;
  /** Requests that it may reject at a time. */
  readonly rejections: number;
}

/**
 * Divides an upstream among all members, so that queues which do not know of each
 * other never use the same slot, however many there are. Slots go to the members
 * from the first in rank on, rejections from the last on.
 */
export function shareOfMembers(
  whole: UpstreamShare,
  rankedMembers: readonly string[],
  usesQueue: (memberId: string) => boolean,
): UpstreamShare {
  const count = rankedMembers.length;
  const countOf = (parts: number, ranking: readonly string[]): number => {
    const rounds = Math.floor(parts / count);
    return ranking.reduce((sum, memberId, rank) => {
      const own = rounds + (rank < parts % count ? 1 : 0);
      return usesQueue(memberId) ? sum + own : sum;
    }, 0);
  };
  if (count === 0) return whole;
  return {
    slots: countOf(whole.slots, rankedMembers),
    rejections: countOf(whole.rejections, rankedMembers.toReversed()),
  };
}
