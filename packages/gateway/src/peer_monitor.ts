import type {Clock, Logger} from '@fescuespool/common';
import type {PeerNetwork} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  PROCESS_STALL_THRESHOLD_MS,
  PING_AFTER_SILENCE_MS,
  PING_TIMEOUT_MS,
  SUSPECT_PING_PERIOD_MS,
  SUSPECT_PING_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import type {GatewayMember} from './types.js';

interface Watched {
  waits: number;
  heardAtMs: number;
  isPinging: boolean;
  /** Called when the member is given up. */
  readonly lost: Set<() => void>;
}

/**
 * Finds members that stopped answering while requests wait for them. Only those
 * are asked, so that an idle fleet sends nothing.
 */
export class PeerMonitor {
  private readonly watched = new Map<string, Watched>();
  private readonly timers: NodeJS.Timeout[];
  private lastCheckMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {
    this.lastCheckMs = clock.monotonicMs();
    this.timers = [
      setInterval(() => this.checkWatched(), PING_AFTER_SILENCE_MS),
      setInterval(() => void this.retrySuspects(), SUSPECT_PING_PERIOD_MS),
    ];
  }

  /** Runs a wait for a member; `lost` resolves when the member is given up. */
  async watchDuring<T>(
    member: GatewayMember,
    wait: (lost: Promise<void>) => Promise<T>,
  ): Promise<T> {
    const entry = this.entryOf(member.id);
    if (entry.waits === 0) entry.heardAtMs = this.clock.monotonicMs();
    entry.waits++;
    let tell: () => void = () => undefined;
    const lost = new Promise<void>(resolve => {
      tell = resolve;
      entry.lost.add(tell);
    });
    try {
      return await wait(lost);
    } finally {
      entry.waits--;
      entry.lost.delete(tell);
    }
  }

  /** Notes a sign of life. */
  recordContact(memberId: string): void {
    const entry = this.watched.get(memberId);
    if (entry) entry.heardAtMs = this.clock.monotonicMs();
  }

  /** Gives a member up whose link has failed. */
  reportFailure(member: GatewayMember, cause: string): void {
    this.giveUp(member, cause);
  }

  /** Stops the checks. */
  close(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  private entryOf(id: string): Watched {
    const known = this.watched.get(id);
    if (known) return known;
    const entry: Watched = {
      waits: 0,
      heardAtMs: this.clock.monotonicMs(),
      isPinging: false,
      lost: new Set(),
    };
    this.watched.set(id, entry);
    return entry;
  }

  private checkWatched(): void {
    const now = this.clock.monotonicMs();
    const stalledMs = now - this.lastCheckMs - PING_AFTER_SILENCE_MS;
    this.lastCheckMs = now;
    for (const [id, entry] of this.watched) {
      if (entry.waits === 0 || entry.isPinging) continue;
      if (now - entry.heardAtMs < PING_AFTER_SILENCE_MS) continue;
      // What came in during a stall of this process has not been read yet.
      if (stalledMs > PROCESS_STALL_THRESHOLD_MS) continue;
      void this.pingWatched(id, entry);
    }
  }

  private async pingWatched(id: string, entry: Watched): Promise<void> {
    const member = this.members.all.find(candidate => candidate.id === id);
    if (!member) {
      for (const tell of entry.lost) tell();
      return;
    }
    entry.isPinging = true;
    const start = this.clock.monotonicMs();
    const isAlive = await this.ping(member, PING_TIMEOUT_MS);
    const tookMs = this.clock.monotonicMs() - start;
    entry.isPinging = false;
    if (isAlive) this.recordContact(id);
    else if (tookMs < PING_TIMEOUT_MS + PROCESS_STALL_THRESHOLD_MS) {
      this.giveUp(member, 'no answer to a ping');
    }
  }

  private giveUp(member: GatewayMember, cause: string): void {
    if (this.members.suspect(member.id)) {
      this.log.warn('peer_lost', {peer: member.id, cause});
    }
    // A link that went silent may stay so; the next try opens a new one.
    this.network.disconnect(member.id);
    for (const tell of this.entryOf(member.id).lost) tell();
  }

  private async retrySuspects(): Promise<void> {
    const tries = this.members.suspected.map(async member => {
      if (!(await this.ping(member, SUSPECT_PING_TIMEOUT_MS))) {
        this.network.disconnect(member.id);
        return;
      }
      if (this.members.clearSuspicion(member.id)) {
        this.log.info('peer_back', {peer: member.id});
      }
    });
    await Promise.all(tries);
  }

  private async ping(
    member: GatewayMember,
    timeoutMs: number,
  ): Promise<boolean> {
    const answer = await this.network.call(
      member,
      GATEWAY_METHOD.PING,
      {},
      timeoutMs,
    );
    return answer.isOk();
  }
}
