import type {Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {LRUCache} from 'lru-cache';
import {
  GATEWAY_METHOD,
  MAX_NEIGHBOUR_NOTICES,
  NEIGHBOUR_NOTICE_ATTEMPTS,
  NEIGHBOUR_NOTICE_RETRY_MS,
  NEIGHBOUR_NOTICE_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import type {UpstreamNotice} from './messages.js';
import {NOTICE_TAKEN_SCHEMA} from './messages.js';
import type {GatewayMember} from './types.js';

/**
 * Tells neighbours what upstreams said at the ends of their tunnels: to the
 * upstream, the neighbour is the sender, but it does not read what it forwards.
 */
export class NeighbourNotices {
  /** Notices that neighbours have or are being sent. */
  private readonly told = new LRUCache<string, true>({
    max: MAX_NEIGHBOUR_NOTICES,
  });

  constructor(
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {}

  /**
   * Sends a notice, unless the neighbour has it, until the neighbour confirms it;
   * gives up after NEIGHBOUR_NOTICE_ATTEMPTS.
   */
  async tell(
    neighbour: GatewayMember,
    notice: Omit<UpstreamNotice, 'senderId'>,
  ): Promise<void> {
    const key = `${neighbour.id}\n${JSON.stringify(notice)}`;
    if (this.told.get(key)) return;
    this.told.set(key, true);
    const senderId = this.members.localMember.id;
    const params: UpstreamNotice = {senderId, ...notice};
    let message = '';
    for (let attempt = 1; attempt <= NEIGHBOUR_NOTICE_ATTEMPTS; attempt++) {
      const answer = await callPeer(
        this.network,
        neighbour,
        GATEWAY_METHOD.UPSTREAM_NOTICE,
        params,
        NOTICE_TAKEN_SCHEMA,
        NEIGHBOUR_NOTICE_TIMEOUT_MS,
      );
      if (answer.isOk()) return;
      ({message} = answer.error);
      await sleep(NEIGHBOUR_NOTICE_RETRY_MS);
    }
    this.told.delete(key);
    this.log.warn('neighbour_not_told', {
      peer: neighbour.id,
      upstream: notice.instanceId,
      message,
    });
  }
}
