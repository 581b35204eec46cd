import {MIN_LOST_UPSTREAMS} from './constants.js';

/**
 * What is known of this gateway's own paths to upstreams, by address. A path is
 * lost if a connection failed here and succeeded through a neighbour at the same
 * time, so that the upstream is sound.
 */
export class PathState {
  /** Monotonic milliseconds at which each path was found lost. */
  private readonly lost = new Map<string, number>();
  private lastDirectMs = -Infinity;

  /** Addresses whose paths are lost. */
  get lostAddresses(): string[] {
    return [...this.lost.keys()];
  }

  /**
   * Whether this gateway seems to reach no upstream at all: several paths are
   * lost, and no new connection has succeeded since.
   */
  get isCutOff(): boolean {
    let count = 0;
    for (const lostAtMs of this.lost.values()) {
      if (lostAtMs > this.lastDirectMs) count++;
    }
    return count >= MIN_LOST_UPSTREAMS;
  }

  /** Whether a new connection of its own has succeeded since a time. */
  hasConnectedSince(sinceMs: number): boolean {
    return this.lastDirectMs >= sinceMs;
  }

  /** Whether to connect to an upstream through a neighbour first. */
  isLost(address: string): boolean {
    return this.lost.has(address) || this.isCutOff;
  }

  /** Records a new connection of this gateway's own. */
  recordDirect(address: string, nowMs: number): void {
    this.lost.delete(address);
    this.lastDirectMs = nowMs;
  }

  /** Records that only a neighbour could connect. */
  recordLost(address: string, nowMs: number): void {
    this.lost.set(address, nowMs);
  }

  /** Forgets the paths to all upstreams but these. */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.lost.keys()) {
      if (!addresses.has(address)) this.lost.delete(address);
    }
  }
}
