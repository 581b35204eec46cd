import type {Clock} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {QuotaLedger, UsageAnswer} from '@fescuespool/scheduling';
import {UsageHub} from '@fescuespool/scheduling';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  MIN_USAGE_PERIOD_MS,
  USAGE_HUB_KEY,
  USAGE_PERIOD_PER_MEMBER_MS,
  USAGE_SILENCE_MS,
  USAGE_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import {USAGE_ANSWER_SCHEMA} from './messages.js';

/**
 * Tells the usage hub what was charged here and takes out what the others used.
 * Members that can't be heard may use their share of every quota, so the rest
 * keeps to what is left; one that is alone keeps to its own.
 */
export class UsageExchange {
  private readonly hub = new UsageHub(USAGE_SILENCE_MS);
  private readonly stopped = new AbortController();
  private answeredAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly quotas: QuotaLedger,
  ) {
    this.answeredAtMs = clock.monotonicMs();
    void this.run();
  }

  /** Answers a member as the hub. */
  answer(memberId: string, usage: Record<string, number>): UsageAnswer {
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
    const memberId = this.members.me.id;
    const usage = this.quotas.takeUnreported();
    if (hub.id === memberId) {
      this.apply(this.answer(memberId, usage));
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
      this.apply(answer.value);
      return;
    }
    this.quotas.returnUnreported(usage);
    this.applySilence();
  }

  private apply({others, heard}: UsageAnswer): void {
    this.answeredAtMs = this.clock.monotonicMs();
    this.quotas.applyOthers(others);
    if (heard === null) return;
    this.quotas.setShare(Math.min(1, heard / this.members.all.length));
  }

  private applySilence(): void {
    const silentMs = this.clock.monotonicMs() - this.answeredAtMs;
    if (silentMs < USAGE_SILENCE_MS) return;
    this.quotas.setShare(1 / this.members.all.length);
  }
}
