import type {Clock} from '@fescuespool/common';
import type {OnCrashCause} from './crash_cause_tracker.js';
import {CrashCauseTracker} from './crash_cause_tracker.js';
import type {OnDeath} from './poison_registry.js';
import {PoisonRegistry} from './poison_registry.js';
import type {CrashCause} from './types.js';

/** What a request is judged by: its whole content and the parts of its prompt. */
export interface CrashEvidence {
  /** Hash of client account and content. */
  readonly fingerprint: string;
  /** Ids of the parts of its prompt, in order; other requests share some. */
  readonly parts: readonly string[];
}

/** Callbacks of a CrashDetector, for logs and for the other members. */
export interface CrashDetectorCallbacks {
  readonly onDeath?: OnDeath;
  readonly onCause?: OnCrashCause;
}

/**
 * Recognizes requests that crash the upstreams that run them, by their whole
 * content or by one part of their prompt.
 */
export class CrashDetector {
  private readonly poison: PoisonRegistry;
  private readonly tracker: CrashCauseTracker;

  constructor(clock: Clock, {onDeath, onCause}: CrashDetectorCallbacks = {}) {
    this.poison = new PoisonRegistry(clock, onDeath);
    this.tracker = new CrashCauseTracker(clock, onCause);
  }

  /** Prompt parts that requests are refused for. */
  get causes(): CrashCause[] {
    return this.tracker.causes;
  }

  /** Whether a request is to be refused because it would crash its upstream. */
  isSuspected({fingerprint, parts}: CrashEvidence): boolean {
    return this.poison.isSuspected(fingerprint) || this.hasCause(parts);
  }

  /** Whether one of the prompt parts is known to crash upstreams. */
  hasCause(parts: readonly string[]): boolean {
    return this.tracker.findCause(parts) !== null;
  }

  /** Whether an upstream has died with a request of this content in flight. */
  hasRecordedDeath(fingerprint: string): boolean {
    return this.poison.deathCount(fingerprint) > 0;
  }

  /**
   * Records the death of an upstream that ran a request. If the response had
   * begun, `parts` must be empty, as only the start of a response is dangerous.
   */
  recordDeath(upstreamId: string, {fingerprint, parts}: CrashEvidence): void {
    this.poison.recordDeath(fingerprint, upstreamId);
    this.tracker.recordDeath(upstreamId, {content: fingerprint, parts});
  }

  /**
   * Records that a response to a request with these parts has gone on after its
   * start; returns the parts that are no longer suspected because of it.
   */
  recordSurvival(parts: readonly string[]): string[] {
    return this.tracker.recordSurvival(parts);
  }

  /** Adopts the death counts by fingerprint that another member has. */
  mergeDeathCounts(counts: Readonly<Record<string, number>>): void {
    this.poison.merge(counts);
  }

  /** Adopts causes that another member has found; returns the new ones. */
  adoptCauses(causes: readonly CrashCause[]): CrashCause[] {
    return this.tracker.adopt(causes);
  }
}
