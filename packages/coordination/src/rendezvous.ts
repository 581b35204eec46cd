import {createHash} from 'node:crypto';

const SCORE_BYTES = 6;

function score(memberId: string, key: string): number {
  const digest = createHash('sha256').update(`${key}\n${memberId}`).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/**
 * Ranks members for a key by rendezvous hashing. Removing a member changes the
 * owner only of the keys that it owned.
 */
export function rankMembers(
  memberIds: readonly string[],
  key: string,
): string[] {
  return memberIds
    .map(id => ({id, score: score(id, key)}))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(ranked => ranked.id);
}

/** Owner of a key: the member ranked first, or null without members. */
export function ownerOf(
  memberIds: readonly string[],
  key: string,
): string | null {
  return rankMembers(memberIds, key)[0] ?? null;
}
