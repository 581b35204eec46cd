import {MS_PER_SECOND} from '@fescuespool/common';
import {
  RATE_SMOOTHING,
  SLOW_SAMPLE_FACTOR,
  SLOW_SAMPLE_SMOOTHING,
  STRAGGLER_FACTOR,
  STRAGGLER_SLOTS,
  UPSTREAM_HEALTH,
} from './constants.js';
import {PrefixCacheIndex} from './prefix_cache_index.js';
import type {CrashEvidence} from './crash_detector.js';
import type {
  GrantRequest,
  LoadReport,
  ReleaseReport,
  UpstreamHealth,
  UpstreamSpec,
} from './types.js';

const INITIAL_SERVICE_MS = 50;

/** A running request as the dispatcher tracks it; times are monotonic. */
export interface ActiveRun {
  readonly request: GrantRequest;
  readonly upstreamId: string;
  readonly startedAtMs: number;
  readonly expectedTokens: number;
  /** Estimated prompt tokens that the upstream has not cached. */
  readonly uncachedTokens: number;
  hasFirstToken: boolean;
  /** Set while the run is being cancelled for a higher tier. */
  preemptedAtMs: number | null;
  /** Set when the run's entry was lost; null again if it is reported. */
  orphanedAtMs: number | null;
  /** Ends the run's p-queue task. */
  readonly release: () => void;
}

/** Evidence of a run whose upstream died; a response that had begun is none. */
export function crashEvidenceOf({
  request: {fingerprint, prefixHashes},
  hasFirstToken,
}: ActiveRun): CrashEvidence {
  return {fingerprint, parts: hasFirstToken ? [] : prefixHashes};
}

function smooth(previous: number, sample: number): number {
  return previous + RATE_SMOOTHING * (sample - previous);
}

/** Running requests, cached prefixes and measured speed of one upstream. */
export class UpstreamState {
  readonly prefixes: PrefixCacheIndex;
  readonly runs = new Map<string, ActiveRun>();
  /** Measured prefill rate in tokens per second, while not a straggler. */
  private measuredPrefillRate: number;
  /** Smoothed time in milliseconds between two tokens of one stream. */
  tokenIntervalMs: number;
  /** Smoothed time in milliseconds of one application call. */
  serviceMs = INITIAL_SERVICE_MS;
  failedPolls = 0;
  /** Whether its last polls failed or it died during a run. */
  isDown = false;
  isStraggler = false;
  lastLoad: LoadReport | null = null;
  /** Whether a load report said leaving; kept for this incarnation. */
  private reportedLeaving = false;
  /** Lowest `tokenIntervalMs` since start; null before the first sample. */
  private bestTokenIntervalMs: number | null = null;

  constructor(public spec: UpstreamSpec) {
    this.prefixes = new PrefixCacheIndex(spec.cacheTokens);
    this.measuredPrefillRate = spec.prefillTokensPerSecond;
    this.tokenIntervalMs = MS_PER_SECOND / spec.decodeTokensPerSecond;
  }

  /** Health; leaving takes precedence over down, and down over straggler. */
  get health(): UpstreamHealth {
    if (this.spec.isLeaving || this.reportedLeaving)
      return UPSTREAM_HEALTH.LEAVING;
    if (this.isDown) return UPSTREAM_HEALTH.DOWN;
    if (this.isStraggler) return UPSTREAM_HEALTH.STRAGGLER;
    return UPSTREAM_HEALTH.UP;
  }

  /**
   * Prefill rate in tokens per second. A straggler's rate is divided by its
   * decode slowdown: its prefill is slower as well, but decode measurements
   * show it first.
   */
  get prefillRate(): number {
    if (!this.isStraggler) return this.measuredPrefillRate;
    return this.measuredPrefillRate / this.slowdown();
  }

  /** Whether the upstream may be sent new requests. */
  get isUsable(): boolean {
    const {health} = this;
    return (
      health === UPSTREAM_HEALTH.UP || health === UPSTREAM_HEALTH.STRAGGLER
    );
  }

  /** Maximum number of concurrent requests at present. */
  get slotLimit(): number {
    return this.isStraggler ? STRAGGLER_SLOTS : this.spec.slots;
  }

  /** Number of free slots; 0 or negative if no request may start. */
  get freeSlots(): number {
    return this.isUsable ? this.slotLimit - this.runs.size : 0;
  }

  /** Seconds of prefill of the running requests without a first token. */
  get pendingPrefillSeconds(): number {
    let tokens = 0;
    for (const run of this.runs.values()) {
      if (!run.hasFirstToken) tokens += run.uncachedTokens;
    }
    return tokens / this.prefillRate;
  }

  /** Prompt tokens of a request that are not cached here, at least 1. */
  uncachedTokens(request: GrantRequest): number {
    const cached = this.prefixes.cachedTokens(request.prefixHashes);
    return Math.max(1, request.promptTokens - cached);
  }

  /** Estimated seconds that a request takes here once it has a slot. */
  serviceSeconds(request: GrantRequest, expectedTokens: number): number {
    if (!this.spec.isModel) return this.serviceMs / MS_PER_SECOND;
    const prefill = this.uncachedTokens(request) / this.prefillRate;
    const decode = (expectedTokens * this.tokenIntervalMs) / MS_PER_SECOND;
    return this.pendingPrefillSeconds + prefill + decode;
  }

  /** Estimated seconds until a slot is free after `ahead` requests took one. */
  slotWaitSeconds(ahead: number, nowMs: number): number {
    const needed = this.runs.size - this.slotLimit + 1 + ahead;
    if (needed <= 0) return 0;
    const ends = [...this.runs.values()]
      .map(run => this.remainingSeconds(run, nowMs))
      .sort((a, b) => a - b);
    if (ends.length === 0) return Infinity;
    const rounds = Math.floor((needed - 1) / ends.length);
    const last = ends[ends.length - 1]!;
    return rounds * last + ends[(needed - 1) % ends.length]!;
  }

  /** Replaces the specification, keeping runs and measurements. */
  updateSpec(spec: UpstreamSpec): void {
    this.spec = spec;
  }

  /** Updates the measured rates from a completed run. */
  recordCompletion(run: ActiveRun, report: ReleaseReport): void {
    if (!this.spec.isModel) {
      if (report.firstTokenMs === null) return;
      this.serviceMs = smooth(this.serviceMs, report.firstTokenMs);
      return;
    }
    this.updateRates(run, report);
  }

  /** Updates `isStraggler` from its own slowdown and that of its peers. */
  updateStraggler(peerSlowdown: number): void {
    const slowdown = this.slowdown();
    const bound = STRAGGLER_FACTOR * Math.max(1, peerSlowdown);
    this.isStraggler = slowdown > bound;
  }

  /** Ratio of the smoothed token interval to the lowest one; 1 at best. */
  slowdown(): number {
    if (this.bestTokenIntervalMs === null) return 1;
    return this.tokenIntervalMs / this.bestTokenIntervalMs;
  }

  /** Updates the token interval from a sample in milliseconds. */
  recordTokenInterval(sampleMs: number): void {
    if (this.bestTokenIntervalMs === null) {
      this.tokenIntervalMs = sampleMs;
      this.bestTokenIntervalMs = sampleMs;
      return;
    }
    // A slowdown must show within seconds; higher speed is adopted slowly.
    const isSlow = sampleMs > this.tokenIntervalMs * SLOW_SAMPLE_FACTOR;
    const weight = isSlow ? SLOW_SAMPLE_SMOOTHING : RATE_SMOOTHING;
    this.tokenIntervalMs += weight * (sampleMs - this.tokenIntervalMs);
    this.bestTokenIntervalMs = Math.min(
      this.bestTokenIntervalMs,
      this.tokenIntervalMs,
    );
  }

  /** Applies a load report; an upstream that was down counts as restarted. */
  applyLoad(load: LoadReport): void {
    this.failedPolls = 0;
    if (this.isDown) {
      // A restarted engine has an empty cache.
      this.prefixes.clear();
      this.isDown = false;
    }
    this.lastLoad = load;
    if (load.leaving) this.reportedLeaving = true;
    this.prefixes.evict(load.evicted);
  }

  private updateRates(run: ActiveRun, report: ReleaseReport): void {
    const {firstTokenMs, decodeMs, outputTokens} = report;
    const computed = report.computedPromptTokens ?? run.uncachedTokens;
    if (firstTokenMs !== null && firstTokenMs > 0 && computed > 0) {
      // A lower bound: the time includes the wait in the engine's own queue.
      const sample = (computed * MS_PER_SECOND) / firstTokenMs;
      const bounded = Math.min(sample, this.spec.prefillTokensPerSecond * 4);
      if (bounded > this.measuredPrefillRate || this.runs.size <= 1) {
        this.measuredPrefillRate = smooth(this.measuredPrefillRate, bounded);
      }
    }
    if (decodeMs !== null && outputTokens > 1) {
      this.recordTokenInterval(decodeMs / (outputTokens - 1));
    }
  }

  private remainingSeconds(run: ActiveRun, nowMs: number): number {
    const elapsed = (nowMs - run.startedAtMs) / MS_PER_SECOND;
    if (!this.spec.isModel) {
      return Math.max(0, this.serviceMs / MS_PER_SECOND - elapsed);
    }
    const prefill = run.uncachedTokens / this.measuredPrefillRate;
    const decode = (run.expectedTokens * this.tokenIntervalMs) / MS_PER_SECOND;
    const minSeconds = this.tokenIntervalMs / MS_PER_SECOND;
    return Math.max(minSeconds, prefill + decode - elapsed);
  }
}

/**
 * Marks stragglers by comparing each slowdown with the median, so that a
 * slowdown of all upstreams marks none.
 */
export function updateStragglers(states: readonly UpstreamState[]): void {
  const slowdowns = states.map(state => state.slowdown());
  slowdowns.sort((a, b) => a - b);
  const median = slowdowns[Math.floor(slowdowns.length / 2)] ?? 1;
  for (const state of states) state.updateStraggler(median);
}

/** Request ids of runs started by `startedBeforeMs`, grouped by entry. */
export function groupRunIdsByEntry(
  runs: Iterable<ActiveRun>,
  startedBeforeMs: number,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const {request, startedAtMs} of runs) {
    if (startedAtMs > startedBeforeMs) continue;
    const ids = groups.get(request.entryId) ?? [];
    ids.push(request.requestId);
    groups.set(request.entryId, ids);
  }
  return groups;
}
