import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {
  CRASH_CAUSE_TTL_MS,
  DEATH_REPORT_SPREAD_MS,
  DEATH_SETTLE_MS,
  MAX_CRASH_CAUSE_TTL_MS,
  MAX_CRASH_CAUSES,
  MAX_SUSPECTS_PER_DEATH,
  MAX_UPSTREAM_DEATHS,
  UPSTREAM_DEATH_TTL_MS,
} from './constants.js';
import {findCrashCause, hasPart} from './crash_cause.js';
import type {CrashCause, CrashSuspect, UpstreamDeath} from './types.js';

interface CauseRecord {
  readonly untilMs: number;
  readonly ttlMs: number;
}

/** Called with each newly found cause and the number of deaths it explains. */
export type OnCrashCause = (cause: CrashCause, deaths: number) => void;

/**
 * Finds prompt parts that crash the upstreams that begin to answer them. Keeps
 * the deaths of upstreams with the requests that may have caused them; a response
 * to another request with the same part clears that part.
 */
export class CrashCauseTracker {
  /** Deaths that no known cause explains, the oldest first. */
  private deaths: UpstreamDeath[] = [];
  /** Causes by prompt part; expired ones stay as a record. */
  private readonly records = new LRUCache<string, CauseRecord>({
    max: MAX_CRASH_CAUSES,
  });
  /** Upstreams whose recent death a known cause explains. */
  private readonly explainedDeaths: LRUCache<string, true>;
  /** Newest death of the last evaluation, to repeat it only with new evidence. */
  private lastEvaluated: UpstreamDeath | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly onCause: OnCrashCause = () => undefined,
  ) {
    this.explainedDeaths = new LRUCache({
      max: MAX_UPSTREAM_DEATHS,
      ttl: DEATH_REPORT_SPREAD_MS,
      perf: {now: clock.monotonicMs},
    });
  }

  /** Causes in force, with the milliseconds for which they stay so. */
  get causes(): CrashCause[] {
    const now = this.clock.monotonicMs();
    return [...this.records.entries()]
      .map(([part, {untilMs}]) => ({part, remainingMs: untilMs - now}))
      .filter(({remainingMs}) => remainingMs > 0);
  }

  /**
   * Records that an upstream died before its response to a request had begun.
   * Reports of several requests about the same death are joined.
   */
  recordDeath(upstreamId: string, suspect: CrashSuspect): void {
    const now = this.clock.monotonicMs();
    if (suspect.parts.length === 0) return;
    if (this.findActive(suspect.parts, now) !== null) {
      this.removeExplained(death => death.upstreamId === upstreamId);
      this.explainedDeaths.set(upstreamId, true);
      return;
    }
    if (this.explainedDeaths.has(upstreamId)) return;
    const repeated = suspect.parts.find(part => this.records.has(part));
    if (repeated !== undefined) {
      this.addCause(repeated, 1);
      return;
    }
    const known = this.deaths.find(
      death =>
        death.upstreamId === upstreamId &&
        now - death.atMs < DEATH_REPORT_SPREAD_MS,
    );
    if (known) {
      if (known.suspects.length >= MAX_SUSPECTS_PER_DEATH) return;
      known.suspects.push(suspect);
      this.lastEvaluated = null;
      return;
    }
    this.deaths.push({upstreamId, atMs: now, suspects: [suspect]});
    if (this.deaths.length > MAX_UPSTREAM_DEATHS) this.deaths.shift();
  }

  /**
   * Records that a response to a request with these parts has begun and gone on.
   * Returns the parts that are no longer suspected because of it.
   */
  recordSurvival(parts: readonly string[]): string[] {
    if (this.deaths.length === 0 && this.records.size === 0) return [];
    const cleared = parts.filter(
      part =>
        this.records.delete(part) ||
        this.deaths.some(death => hasPart(death, part)),
    );
    if (cleared.length > 0) this.removeParts(cleared);
    return cleared;
  }

  /** The cause in force that a request with these parts holds; null if none. */
  findCause(parts: readonly string[]): string | null {
    const now = this.clock.monotonicMs();
    this.evaluate(now);
    return this.findActive(parts, now);
  }

  /** Adopts causes that another member has found; returns the new ones. */
  adopt(causes: readonly CrashCause[]): CrashCause[] {
    const now = this.clock.monotonicMs();
    const unknown = causes.filter(
      ({part}) => this.findActive([part], now) === null,
    );
    for (const {part, remainingMs} of unknown) {
      const ttlMs = Math.max(CRASH_CAUSE_TTL_MS, remainingMs);
      this.records.set(part, {untilMs: now + remainingMs, ttlMs});
      this.removeExplained(death => hasPart(death, part));
    }
    return unknown;
  }

  private findActive(parts: readonly string[], now: number): string | null {
    const isActive = (part: string): boolean =>
      (this.records.get(part)?.untilMs ?? -Infinity) > now;
    return parts.find(isActive) ?? null;
  }

  private evaluate(now: number): void {
    if (this.deaths.length === 0) return;
    this.deaths = this.deaths.filter(
      ({atMs}) => now - atMs < UPSTREAM_DEATH_TTL_MS,
    );
    // Responses that clear a part may arrive shortly after a death.
    const settled = this.deaths.filter(
      ({atMs}) => now - atMs >= DEATH_SETTLE_MS,
    );
    const newest = settled.at(-1) ?? null;
    if (newest === this.lastEvaluated) return;
    this.lastEvaluated = newest;
    const part = findCrashCause(settled);
    if (part === null) return;
    // The deaths that this cause does not explain may have another one.
    this.lastEvaluated = null;
    this.addCause(part, settled.filter(death => hasPart(death, part)).length);
  }

  /** Puts a cause in force, for longer each time it turns out again. */
  private addCause(part: string, deaths: number): void {
    const previous = this.records.get(part);
    const ttlMs = previous
      ? Math.min(MAX_CRASH_CAUSE_TTL_MS, 2 * previous.ttlMs)
      : CRASH_CAUSE_TTL_MS;
    const untilMs = this.clock.monotonicMs() + ttlMs;
    this.records.set(part, {untilMs, ttlMs});
    this.removeExplained(death => hasPart(death, part));
    this.onCause({part, remainingMs: ttlMs}, deaths);
  }

  /** Removes the deaths that a cause explains, so that they blame no other. */
  private removeExplained(
    isExplained: (death: UpstreamDeath) => boolean,
  ): void {
    for (const death of this.deaths.filter(isExplained)) {
      this.explainedDeaths.set(death.upstreamId, true);
    }
    this.deaths = this.deaths.filter(death => !isExplained(death));
  }

  private removeParts(cleared: readonly string[]): void {
    this.deaths = this.deaths.map(death => ({
      ...death,
      suspects: death.suspects.map(({content, parts}) => ({
        content,
        parts: parts.filter(part => !cleared.includes(part)),
      })),
    }));
  }
}
