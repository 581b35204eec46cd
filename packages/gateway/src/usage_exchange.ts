import type {Clock} from '@fescuespool/common';
import type {QuotaLedger} from '@fescuespool/scheduling';
import {UsageHub} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  REPORT_PERIOD_MS,
  USAGE_HUB_KEY,
  USAGE_SILENCE_MS,
  USAGE_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import {USAGE_SCHEMA} from './messages.js';

/**
 * Tells the usage hub what was charged here and takes out what the others used.
 * While the hub is silent each member keeps to its own share of every quota.
 */
export class UsageExchange {
  readonly hub = new UsageHub();
  private readonly timer: NodeJS.Timeout;
  private answeredAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly quotas: QuotaLedger,
  ) {
    this.answeredAtMs = clock.monotonicMs();
    this.timer = setInterval(() => void this.exchange(), REPORT_PERIOD_MS);
  }

  /** Stops the exchange. */
  close(): void {
    clearInterval(this.timer);
  }

  private async exchange(): Promise<void> {
    const hub = this.members.ownerOf(USAGE_HUB_KEY);
    const memberId = this.members.me.id;
    const usage = this.quotas.takeUnreported();
    if (hub.id === memberId) {
      this.quotas.applyOthers(this.hub.exchange(memberId, usage));
      this.updateShare(this.members.suspected.length === 0);
      return;
    }
    const answer = await callPeer(
      this.network,
      hub,
      GATEWAY_METHOD.USAGE,
      {memberId, usage},
      USAGE_SCHEMA,
      USAGE_TIMEOUT_MS,
    );
    if (answer.isOk()) this.quotas.applyOthers(answer.value);
    this.updateShare(answer.isOk());
  }

  private updateShare(isAnswered: boolean): void {
    const now = this.clock.monotonicMs();
    if (isAnswered) this.answeredAtMs = now;
    const isSilent = now - this.answeredAtMs > USAGE_SILENCE_MS;
    this.quotas.setShare(isSilent ? 1 / this.members.all.length : 1);
  }
}
