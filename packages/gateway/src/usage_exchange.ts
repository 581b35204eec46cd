import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {QuotaLedger, UsageAnswer} from '@fescuespool/scheduling';
import {UsageHub} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  USAGE_HUB_FAILOVER_MS,
  MIN_USAGE_PERIOD_MS,
  PROCESS_STALL_THRESHOLD_MS,
  USAGE_HUB_KEY,
  USAGE_PERIOD_PER_MEMBER_MS,
  USAGE_SILENCE_TIMEOUT_MS,
  USAGE_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import {USAGE_ANSWER_SCHEMA} from './messages.js';
import type {PeerMonitor} from './peer_monitor.js';

/**
 * Tells the usage hub what was charged here and takes out what the others used.
 * Members that can't be heard may use their share of every quota, so the rest
 * keeps to what is left; one that is alone keeps to its own.
 */
export class UsageExchange {
  private readonly hub = new UsageHub(
    USAGE_SILENCE_TIMEOUT_MS,
    USAGE_HUB_FAILOVER_MS,
  );
  private readonly stopped = new AbortController();
  private answeredAtMs: number;
  /** Hub that answered last. */
  private hubId: string | null = null;
  /** Part of each quota that is filled here. */
  private share = 1;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly monitor: PeerMonitor,
    private readonly quotas: QuotaLedger,
  ) {
    this.answeredAtMs = clock.monotonicMs();
    void this.run();
  }

  /** Answers a member as the hub. */
  handleUsageReport(
    memberId: string,
    usage: Record<string, number>,
  ): UsageAnswer {
    return this.hub.exchange(memberId, usage, this.clock.monotonicMs());
  }

  /** Stops the exchange. */
  close(): void {
    this.stopped.abort();
  }

  private async run(): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      const count = this.members.all.length;
      const periodMs = USAGE_PERIOD_PER_MEMBER_MS * count;
      await sleep(Math.max(MIN_USAGE_PERIOD_MS, periodMs), signal);
      await this.exchange();
    }
  }

  private async exchange(): Promise<void> {
    const hub = this.members.ownerOf(USAGE_HUB_KEY);
    const memberId = this.members.self.id;
    const usage = this.quotas.takeUnreported();
    const startMs = this.clock.monotonicMs();
    if (hub.id === memberId) {
      this.apply(hub.id, this.handleUsageReport(memberId, usage));
      return;
    }
    const answer = await callPeer(
      this.network,
      hub,
      GATEWAY_METHOD.USAGE,
      {memberId, usage},
      USAGE_ANSWER_SCHEMA,
      USAGE_TIMEOUT_MS,
    );
    if (answer.isOk()) {
      this.apply(hub.id, answer.value);
      return;
    }
    this.quotas.restoreUnreported(usage);
    const tookMs = this.clock.monotonicMs() - startMs;
    // Another member is the hub until this one answers again.
    if (tookMs < USAGE_TIMEOUT_MS + PROCESS_STALL_THRESHOLD_MS) {
      this.monitor.reportFailure(hub, answer.error.message);
    }
    this.applySilence();
  }

  private apply(hubId: string, {others, heard}: UsageAnswer): void {
    const isSameHub = hubId === this.hubId;
    this.answeredAtMs = this.clock.monotonicMs();
    this.hubId = hubId;
    // What both sides of a partition used came out of their shares.
    this.quotas.applyOthersUsage(isSameHub || this.share === 1 ? others : {});
    if (heard !== null) this.setShare(heard / this.members.all.length);
  }

  private applySilence(): void {
    const silentMs = this.clock.monotonicMs() - this.answeredAtMs;
    if (silentMs < USAGE_SILENCE_TIMEOUT_MS) return;
    this.hubId = null;
    this.setShare(1 / this.members.all.length);
  }

  private setShare(share: number): void {
    const before = this.share;
    this.share = Math.min(1, share);
    this.quotas.setShare(this.share);
    if (this.share === before) return;
    this.log.info('quota_share_changed', {
      share: this.share.toFixed(3),
      before: before.toFixed(3),
      hub: this.hubId ?? undefined,
      members: this.members.all.length,
    });
  }
}
