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
  if (count === 0) return whole;
  const countOf = (parts: number, rankOf: (part: number) => number): number => {
    const rounds = Math.floor(parts / count);
    let own = rounds > 0 ? rounds * rankedMembers.filter(usesQueue).length : 0;
    for (let part = 0; part < parts % count; part++) {
      if (usesQueue(rankedMembers[rankOf(part)]!)) own++;
    }
    return own;
  };
  return {
    slots: countOf(whole.slots, part => part),
    rejections: countOf(whole.rejections, part => count - 1 - part),
  };
}
