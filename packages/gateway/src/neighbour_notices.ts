import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {UpstreamLife, UpstreamPause} from '@fescuespool/scheduling';
import {upstreamLifeKey} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {LRUCache} from 'lru-cache';
import {
  GATEWAY_METHOD,
  MAX_NEIGHBOUR_NOTICES,
  MIN_PAUSE_CHANGE_MS,
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
  /**
   * Notices that neighbours have or are being sent, with the time until which
   * each counts, in monotonic milliseconds.
   */
  private readonly told = new LRUCache<string, number>({
    max: MAX_NEIGHBOUR_NOTICES,
  });

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {}

  /** Tells a neighbour that an upstream leaves. */
  async tellLeaving(
    neighbour: GatewayMember,
    {instanceId, startedAtUnixMs}: UpstreamLife,
  ): Promise<void> {
    const life = {instanceId, startedAtUnixMs};
    const key = `leaving\n${neighbour.id}\n${upstreamLifeKey(life)}`;
    await this.tellOnce(neighbour, key, Infinity, () => ({
      ...life,
      isLeaving: true,
      pauseMs: null,
    }));
  }

  /** Tells a neighbour until when an upstream wants no requests from it. */
  async tellPause(
    neighbour: GatewayMember,
    {instanceId, startedAtUnixMs, untilMs}: UpstreamPause,
  ): Promise<void> {
    const life = {instanceId, startedAtUnixMs};
    const key = `pause\n${neighbour.id}\n${upstreamLifeKey(life)}`;
    await this.tellOnce(neighbour, key, untilMs, () => ({
      ...life,
      isLeaving: false,
      pauseMs: Math.max(0, Math.ceil(untilMs - this.clock.monotonicMs())),
    }));
  }

  /**
   * Sends a notice, unless the neighbour has one that counts as long, until it is
   * confirmed; gives up after NEIGHBOUR_NOTICE_ATTEMPTS.
   */
  private async tellOnce(
    neighbour: GatewayMember,
    key: string,
    untilMs: number,
    createNotice: () => Omit<UpstreamNotice, 'senderId'>,
  ): Promise<void> {
    const toldUntilMs = this.told.get(key) ?? -Infinity;
    if (toldUntilMs === Infinity) return;
    if (untilMs - toldUntilMs < MIN_PAUSE_CHANGE_MS) return;
    this.told.set(key, untilMs);
    const senderId = this.members.localMember.id;
    let message = '';
    for (let attempt = 1; attempt <= NEIGHBOUR_NOTICE_ATTEMPTS; attempt++) {
      const params: UpstreamNotice = {senderId, ...createNotice()};
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
    const upstream = createNotice().instanceId;
    this.log.warn('neighbour_not_told', {
      peer: neighbour.id,
      upstream,
      message,
    });
  }
}
