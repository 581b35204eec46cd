import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {QuotaLedger} from '@fescuespool/scheduling';
import {shareAfterExchange, UsageHub} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  MIN_USAGE_REPORT_INTERVAL_MS,
  PROCESS_STALL_THRESHOLD_MS,
  USAGE_HUB_FAILOVER_MS,
  USAGE_HUB_KEY,
  USAGE_REPORT_INTERVAL_PER_MEMBER_MS,
  USAGE_REPORT_TIMEOUT_MS,
  USAGE_SILENCE_TIMEOUT_MS,
} from './constants.js';
import type {ConfigState} from './config_state.js';
import type {MemberDirectory} from './member_directory.js';
import type {UsageReport, UsageReportAnswer} from './messages.js';
import {USAGE_ANSWER_SCHEMA} from './messages.js';
import type {PeerMonitor} from './peer_monitor.js';

/**
 * Exchanges the usage of quotas and rate limits with the other members through
 * the usage hub: reports what was charged here and deducts what the others used.
 * An unreachable member may still use its share of every quota, so the members
 * that reach each other keep to the remaining shares, and an isolated member
 * keeps to its own. The members also learn which configuration is the newest in
 * force, since a restored store may lack it.
 */
export class UsageExchange {
  private readonly hub = new UsageHub(
    USAGE_SILENCE_TIMEOUT_MS,
    USAGE_HUB_FAILOVER_MS,
  );
  private readonly abortController = new AbortController();
  private lastAnswerMs: number;
  /**
   * Hub that answered last; null before the first answer and after a silence of
   * USAGE_SILENCE_TIMEOUT_MS.
   */
  private hubId: string | null = null;
  /** Fraction of each quota, from 0 to 1, that this member may use. */
  private share = 1;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly monitor: PeerMonitor,
    /** Ledgers that share the exchange; each ignores the others' accounts. */
    private readonly ledgers: readonly QuotaLedger[],
    private readonly configState: ConfigState,
  ) {
    this.lastAnswerMs = clock.monotonicMs();
    void this.exchangePeriodically();
  }

  /** Processes a member's usage report as the hub; usage is in quota units. */
  handleUsageReport(report: UsageReport): UsageReportAnswer {
    const {memberId, usage, configVersion} = report;
    this.configState.recordElsewhere(configVersion);
    const answer = this.hub.exchange(memberId, usage, this.clock.monotonicMs());
    return {...answer, newestConfig: this.configState.newestVersion};
  }

  /** Stops the periodic exchange. */
  close(): void {
    this.abortController.abort();
  }

  private async exchangePeriodically(): Promise<void> {
    const {signal} = this.abortController;
    while (!signal.aborted) {
      const count = this.members.allMembers.length;
      const intervalMs = USAGE_REPORT_INTERVAL_PER_MEMBER_MS * count;
      await sleep(Math.max(MIN_USAGE_REPORT_INTERVAL_MS, intervalMs), signal);
      await this.exchange();
    }
  }

  private async exchange(): Promise<void> {
    const hub = this.members.ownerOf(USAGE_HUB_KEY);
    const memberId = this.members.localMember.id;
    const usages = this.ledgers.map(ledger => ledger.takeUnreported());
    const report: UsageReport = {
      memberId,
      usage: Object.assign({}, ...usages) as Record<string, number>,
      configVersion: this.configState.current?.version ?? -1,
    };
    const startMs = this.clock.monotonicMs();
    if (hub.id === memberId) {
      this.applyAnswer(hub.id, this.handleUsageReport(report));
      return;
    }
    const answer = await callPeer(
      this.network,
      hub,
      GATEWAY_METHOD.USAGE,
      report,
      USAGE_ANSWER_SCHEMA,
      USAGE_REPORT_TIMEOUT_MS,
    );
    if (answer.isOk()) {
      this.applyAnswer(hub.id, answer.value);
      return;
    }
    this.ledgers.forEach((ledger, i) => ledger.restoreUnreported(usages[i]!));
    const elapsedMs = this.clock.monotonicMs() - startMs;
    // The failed hub is suspected, so another member takes over until it
    // answers again.
    if (elapsedMs < USAGE_REPORT_TIMEOUT_MS + PROCESS_STALL_THRESHOLD_MS) {
      this.monitor.reportCallFailure(hub, answer.error.message);
    }
    this.useOwnShareAfterTimeout();
  }

  private applyAnswer(hubId: string, answer: UsageReportAnswer): void {
    const {others, heard, newestConfig} = answer;
    this.configState.recordElsewhere(newestConfig);
    const isSameHub = hubId === this.hubId;
    this.lastAnswerMs = this.clock.monotonicMs();
    this.hubId = hubId;
    const count = this.members.allMembers.length;
    const {share, coveredPart} = shareAfterExchange(this.share, heard, count);
    // Usage from both sides of a partition was covered by their shares of the
    // quotas, so it is not deducted again afterwards.
    const isCovered = isSameHub || this.share === 1;
    for (const ledger of this.ledgers) {
      ledger.applyOthersUsage(others, isCovered ? coveredPart : 0);
    }
    this.setShare(share);
  }

  private useOwnShareAfterTimeout(): void {
    const sinceAnswerMs = this.clock.monotonicMs() - this.lastAnswerMs;
    if (sinceAnswerMs < USAGE_SILENCE_TIMEOUT_MS) return;
    this.hubId = null;
    this.setShare(1 / this.members.allMembers.length);
  }

  private setShare(share: number): void {
    const previousShare = this.share;
    this.share = share;
    const nowMs = this.clock.monotonicMs();
    for (const ledger of this.ledgers) ledger.setShare(this.share, nowMs);
    if (this.share === previousShare) return;
    this.log.info('quota_share_changed', {
      share: this.share.toFixed(3),
      before: previousShare.toFixed(3),
      hub: this.hubId ?? undefined,
      members: this.members.allMembers.length,
    });
  }
}
