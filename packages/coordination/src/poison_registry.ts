import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {
  MAX_POISON_FINGERPRINTS,
  POISON_DEATH_THRESHOLD,
  POISON_TTL_MS,
  DEATH_DEDUPLICATION_MS,
} from './constants.js';

interface DeathRecord {
  readonly deaths: number;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Called with a fingerprint and its deaths after each new death. */
export type OnDeath = (fingerprint: string, deaths: number) => void;

/** Deaths of upstreams by the fingerprint of a request in flight. */
export class PoisonRegistry {
  private readonly deathRecords: LRUCache<string, DeathRecord>;

  constructor(
    private readonly clock: Clock,
    private readonly onDeath: OnDeath = () => undefined,
  ) {
    this.deathRecords = new LRUCache({
      max: MAX_POISON_FINGERPRINTS,
      ttl: POISON_TTL_MS,
      perf: {now: clock.monotonicMs},
    });
  }

  /** Counts the death of an upstream that ran a request. */
  recordDeath(fingerprint: string, upstreamId: string): void {
    const previous = this.deathRecords.get(fingerprint);
    const atMs = this.clock.monotonicMs();
    // Requests with one fingerprint that die together saw a single death.
    const isSameDeath =
      previous?.upstreamId === upstreamId &&
      atMs - previous.atMs < DEATH_DEDUPLICATION_MS;
    if (isSameDeath) return;
    const deaths = (previous?.deaths ?? 0) + 1;
    this.deathRecords.set(fingerprint, {deaths, upstreamId, atMs});
    this.onDeath(fingerprint, deaths);
  }

  /** Takes over the counts of a peer where they are higher. */
  merge(counts: Readonly<Record<string, number>>): void {
    const atMs = this.clock.monotonicMs();
    for (const [fingerprint, deaths] of Object.entries(counts)) {
      if (deaths <= this.deathCount(fingerprint)) continue;
      this.deathRecords.set(fingerprint, {deaths, upstreamId: '', atMs});
    }
  }

  /** Deaths counted for a fingerprint while its suspicion lasts. */
  deathCount(fingerprint: string): number {
    return this.deathRecords.get(fingerprint)?.deaths ?? 0;
  }

  /** Tells whether requests with a fingerprint are refused. */
  isSuspected(fingerprint: string): boolean {
    return this.deathCount(fingerprint) >= POISON_DEATH_THRESHOLD;
  }
}
