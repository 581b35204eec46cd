import type {Clock, Logger} from '@fescuespool/common';
import {OnDemandInterval} from '@fescuespool/common';
import type {PeerNetwork} from '@fescuespool/transport';
import {
  GATEWAY_METHOD,
  PING_AFTER_SILENCE_MS,
  PING_TIMEOUT_MS,
  PROCESS_STALL_THRESHOLD_MS,
  SUSPECT_PING_INTERVAL_MS,
  SUSPECT_PING_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import type {GatewayMember} from './types.js';

/** State of one member that this process waits for, or has waited for. */
interface PeerWatch {
  /** Number of waits in progress; a member without any is not pinged. */
  activeWaits: number;
  lastContactMs: number;
  isPinging: boolean;
  /** Called when the member is suspected. */
  readonly suspicionListeners: Set<() => void>;
}

/**
 * Failure detector for members that this process is waiting for. Pings only
 * those, and members already suspected, so that an idle cluster has no ping
 * traffic.
 */
export class PeerMonitor {
  private readonly watches = new Map<string, PeerWatch>();
  private readonly checks = new OnDemandInterval(PING_AFTER_SILENCE_MS, () =>
    this.checkWatches(),
  );
  private readonly suspectPings = new OnDemandInterval(
    SUSPECT_PING_INTERVAL_MS,
    () => {
      void this.pingSuspects();
      return this.members.suspectedMembers.length > 0;
    },
  );
  private lastCheckMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {
    members.onSuspected(() => this.suspectPings.start());
  }

  /**
   * Monitors a member while `wait` runs; the promise passed to it resolves when
   * the member is suspected.
   */
  async watchDuring<T>(
    member: GatewayMember,
    wait: (suspected: Promise<void>) => Promise<T>,
  ): Promise<T> {
    const watch = this.watchOf(member.id);
    if (watch.activeWaits === 0) watch.lastContactMs = this.clock.monotonicMs();
    watch.activeWaits++;
    if (this.checks.start()) this.lastCheckMs = this.clock.monotonicMs();
    let notifySuspected: () => void = () => undefined;
    const suspected = new Promise<void>(resolve => {
      notifySuspected = resolve;
      watch.suspicionListeners.add(notifySuspected);
    });
    try {
      return await wait(suspected);
    } finally {
      watch.activeWaits--;
      watch.suspicionListeners.delete(notifySuspected);
    }
  }

  /** Records that a message arrived from a member. */
  recordContact(memberId: string): void {
    const watch = this.watches.get(memberId);
    if (watch) watch.lastContactMs = this.clock.monotonicMs();
  }

  /** Marks a member as suspected because a call to it failed. */
  reportCallFailure(member: GatewayMember, cause: string): void {
    this.markSuspected(member, cause);
  }

  /** Stops all pings. */
  close(): void {
    this.checks.close();
    this.suspectPings.close();
  }

  private watchOf(id: string): PeerWatch {
    const existing = this.watches.get(id);
    if (existing) return existing;
    const watch: PeerWatch = {
      activeWaits: 0,
      lastContactMs: this.clock.monotonicMs(),
      isPinging: false,
      suspicionListeners: new Set(),
    };
    this.watches.set(id, watch);
    return watch;
  }

  /** Pings members that are silent; returns whether any is waited for. */
  private checkWatches(): boolean {
    const now = this.clock.monotonicMs();
    const stalledMs = now - this.lastCheckMs - PING_AFTER_SILENCE_MS;
    this.lastCheckMs = now;
    let isWaiting = false;
    for (const [id, watch] of this.watches) {
      if (watch.activeWaits === 0) continue;
      isWaiting = true;
      if (watch.isPinging) continue;
      if (now - watch.lastContactMs < PING_AFTER_SILENCE_MS) continue;
      // After a stall of this process, answers may have arrived that have not
      // been read yet, so the silence is no evidence against the member.
      if (stalledMs > PROCESS_STALL_THRESHOLD_MS) continue;
      void this.pingMember(id, watch);
    }
    return isWaiting;
  }

  private async pingMember(id: string, watch: PeerWatch): Promise<void> {
    const member = this.members.allMembers.find(
      candidate => candidate.id === id,
    );
    if (!member) {
      for (const notifySuspected of watch.suspicionListeners) notifySuspected();
      return;
    }
    watch.isPinging = true;
    const start = this.clock.monotonicMs();
    const isAlive = await this.ping(member, PING_TIMEOUT_MS);
    const elapsedMs = this.clock.monotonicMs() - start;
    watch.isPinging = false;
    if (isAlive) this.recordContact(id);
    else if (elapsedMs < PING_TIMEOUT_MS + PROCESS_STALL_THRESHOLD_MS) {
      this.markSuspected(member, 'ping failed or timed out');
    }
  }

  private markSuspected(member: GatewayMember, cause: string): void {
    if (this.members.markSuspected(member.id)) {
      this.log.warn('peer_lost', {peer: member.id, cause});
    }
    // A connection that stalled may not recover; the next call opens a new one.
    this.network.disconnect(member.id);
    for (const notifySuspected of this.watchOf(member.id).suspicionListeners)
      notifySuspected();
  }

  private async pingSuspects(): Promise<void> {
    const attempts = this.members.suspectedMembers.map(async member => {
      if (!(await this.ping(member, SUSPECT_PING_TIMEOUT_MS))) {
        this.network.disconnect(member.id);
        return;
      }
      if (this.members.clearSuspicion(member.id)) {
        this.log.info('peer_back', {peer: member.id});
      }
    });
    await Promise.all(attempts);
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
