import {rankMembers} from '@fescuespool/coordination';
import type {ClaimCopy} from '@fescuespool/protocol';
import {CLAIM_COPY_ANSWER_SCHEMA, PEER_METHOD} from '@fescuespool/protocol';
import type {ClaimStore} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {CLAIM_COPY_TIMEOUT_MS, MAX_CLAIM_COPY_ATTEMPTS} from './constants.js';
import type {DaemonContext} from './types.js';

/**
 * Keeps a copy of each recent claim at another member, which writes it again if
 * the store is restored without it and its holder has ended.
 */
export class ClaimCopies {
  constructor(
    private readonly context: DaemonContext,
    private readonly claims: ClaimStore,
  ) {}

  /** Sends a claim to another member, of another zone if there is one. */
  async share(copy: ClaimCopy): Promise<void> {
    const {membership, network, log} = this.context;
    const candidates = this.candidatesFor(copy.key);
    for (const id of candidates) {
      const member = membership.find(id);
      if (!member) continue;
      const answer = await callPeer(
        network,
        member,
        PEER_METHOD.CLAIM_COPY,
        copy,
        CLAIM_COPY_ANSWER_SCHEMA,
        CLAIM_COPY_TIMEOUT_MS,
      );
      if (answer.isErr()) continue;
      this.claims.epoch.record(answer.value.storeEpoch);
      return;
    }
    const {requestId} = copy.claim;
    log.warn('claim_not_copied', {id: requestId, asked: candidates.length});
  }

  /** Keeps the copy of another member's claim. */
  keep({key, claim}: ClaimCopy): {storeEpoch: number} {
    this.claims.keepCopy(key, claim);
    return {storeEpoch: this.claims.epoch.current};
  }

  private candidatesFor(key: string): string[] {
    const {membership, settings} = this.context;
    const others = membership
      .eligibleIds()
      .filter(id => id !== settings.memberId);
    const ranked = rankMembers(others, key);
    const sameZone = new Set(membership.eligibleIds(settings.zone));
    // A zone may be lost at once.
    const elsewhereFirst = [
      ...ranked.filter(id => !sameZone.has(id)),
      ...ranked.filter(id => sameZone.has(id)),
    ];
    return elsewhereFirst.slice(0, MAX_CLAIM_COPY_ATTEMPTS);
  }
}
