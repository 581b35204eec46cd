import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {
  DEATH_DEDUPLICATION_MS,
  MAX_POISON_FINGERPRINTS,
  POISON_DEATH_THRESHOLD,
  POISON_TTL_MS,
} from './constants.js';

interface DeathRecord {
  readonly deaths: number;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Called after each counted death with the new total of its fingerprint. */
export type OnDeath = (fingerprint: string, deaths: number) => void;

/**
 * Counts upstream deaths by the fingerprint of the requests in flight, to
 * refuse requests that seem to crash their upstreams.
 */
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

  /** Counts the death of an upstream for a request that it was running. */
  recordDeath(fingerprint: string, upstreamId: string): void {
    const previous = this.deathRecords.get(fingerprint);
    const atMs = this.clock.monotonicMs();
    // Several requests of one fingerprint report the same death.
    const isSameDeath =
      previous?.upstreamId === upstreamId &&
      atMs - previous.atMs < DEATH_DEDUPLICATION_MS;
    if (isSameDeath) return;
    const deaths = (previous?.deaths ?? 0) + 1;
    this.deathRecords.set(fingerprint, {deaths, upstreamId, atMs});
    this.onDeath(fingerprint, deaths);
  }

  /** Adopts the death counts of a peer that exceed the local ones. */
  merge(counts: Readonly<Record<string, number>>): void {
    const atMs = this.clock.monotonicMs();
    for (const [fingerprint, deaths] of Object.entries(counts)) {
      if (deaths <= this.deathCount(fingerprint)) continue;
      this.deathRecords.set(fingerprint, {deaths, upstreamId: '', atMs});
    }
  }

  /** Deaths counted for a fingerprint; 0 once its record has expired. */
  deathCount(fingerprint: string): number {
    return this.deathRecords.get(fingerprint)?.deaths ?? 0;
  }

  /** Whether requests with a fingerprint are to be refused. */
  isSuspected(fingerprint: string): boolean {
    return this.deathCount(fingerprint) >= POISON_DEATH_THRESHOLD;
  }
}
