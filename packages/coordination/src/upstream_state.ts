import {MS_PER_SECOND} from '@fescuespool/common';
import {
  RATE_SMOOTHING,
  SLOW_SAMPLE_FACTOR,
  SLOW_SAMPLE_SMOOTHING,
  STRAGGLER_FACTOR,
  STRAGGLER_SLOTS,
  UPSTREAM_HEALTH,
} from './constants.js';
import {PrefixCacheIndex} from './prefix_map.js';
import type {
  GrantRequest,
  LoadReport,
  ReleaseReport,
  UpstreamHealth,
  UpstreamSpec,
} from './types.js';

const FIRST_SERVICE_MS = 50;

/** A request that runs at an upstream, as its dispatcher tracks it. */
export interface ActiveRun {
  readonly request: GrantRequest;
  readonly upstreamId: string;
  readonly startedAtMs: number;
  readonly expectedTokens: number;
  /** Prompt tokens that the upstream has to compute. */
  readonly uncachedTokens: number;
  hasFirstToken: boolean;
  /** Set while the run is being cancelled for a higher tier. */
  preemptedAtMs: number | null;
  /** Set when the run's entry has been lost. */
  orphanedAtMs: number | null;
  /** Ends the run's task in the queue. */
  readonly release: () => void;
}

function smooth(before: number, sample: number): number {
  return before + RATE_SMOOTHING * (sample - before);
}

/** What a dispatcher knows of one upstream. */
export class UpstreamState {
  readonly prefixes: PrefixCacheIndex;
  readonly runs = new Map<string, ActiveRun>();
  /** Measured prefill rate in tokens a second, while not a straggler. */
  private measuredPrefillRate: number;
  /** Measured time in milliseconds between two tokens of one stream. */
  tokenIntervalMs: number;
  /** Measured time in milliseconds of one application call. */
  serviceMs = FIRST_SERVICE_MS;
  failedPolls = 0;
  /** Whether the upstream's last polls and connections failed. */
  isDown = false;
  isStraggler = false;
  lastLoad: LoadReport | null = null;
  /** Sticky for this incarnation of the upstream. */
  private saidLeaving = false;
  /** Shortest interval measured; null before the first measurement. */
  private bestTokenIntervalMs: number | null = null;

  constructor(public spec: UpstreamSpec) {
    this.prefixes = new PrefixCacheIndex(spec.cacheTokens);
    this.measuredPrefillRate = spec.prefillTokensPerSecond;
    this.tokenIntervalMs = MS_PER_SECOND / spec.decodeTokensPerSecond;
  }

  /** Health in the order in which it matters. */
  get health(): UpstreamHealth {
    if (this.spec.isLeaving || this.saidLeaving) return UPSTREAM_HEALTH.LEAVING;
    if (this.isDown) return UPSTREAM_HEALTH.DOWN;
    if (this.isStraggler) return UPSTREAM_HEALTH.STRAGGLER;
    return UPSTREAM_HEALTH.UP;
  }

  /**
   * Prefill rate in tokens a second. What slows decoding down slows prefill as
   * well, and is seen there first.
   */
  get prefillRate(): number {
    if (!this.isStraggler) return this.measuredPrefillRate;
    return this.measuredPrefillRate / this.slowdown();
  }

  /** Whether new work may be sent. */
  get isUsable(): boolean {
    const {health} = this;
    return (
      health === UPSTREAM_HEALTH.UP || health === UPSTREAM_HEALTH.STRAGGLER
    );
  }

  /** Requests that may run at once now. */
  get slotLimit(): number {
    return this.isStraggler ? STRAGGLER_SLOTS : this.spec.slots;
  }

  /** Slots that are free for new work. */
  get freeSlots(): number {
    return this.isUsable ? this.slotLimit - this.runs.size : 0;
  }

  /** Seconds of prefill that were sent and are not done. */
  get pendingPrefillSeconds(): number {
    let tokens = 0;
    for (const run of this.runs.values()) {
      if (!run.hasFirstToken) tokens += run.uncachedTokens;
    }
    return tokens / this.prefillRate;
  }

  /** Prompt tokens of a request that are not cached here. */
  uncachedTokens(request: GrantRequest): number {
    const cached = this.prefixes.cachedTokens(request.prefixHashes);
    return Math.max(1, request.promptTokens - cached);
  }

  /** Seconds that a request takes here once it has a slot. */
  serviceSeconds(request: GrantRequest, expectedTokens: number): number {
    if (!this.spec.isModel) return this.serviceMs / MS_PER_SECOND;
    const prefill = this.uncachedTokens(request) / this.prefillRate;
    const decode = (expectedTokens * this.tokenIntervalMs) / MS_PER_SECOND;
    return this.pendingPrefillSeconds + prefill + decode;
  }

  /** Seconds until the slot after `ahead` others becomes free. */
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

  /** Replaces the specification, keeping what was learned. */
  updateSpec(spec: UpstreamSpec): void {
    this.spec = spec;
  }

  /** Learns from a finished run. */
  recordCompletion(run: ActiveRun, report: ReleaseReport): void {
    if (!this.spec.isModel) {
      if (report.firstTokenMs === null) return;
      this.serviceMs = smooth(this.serviceMs, report.firstTokenMs);
      return;
    }
    this.observeRates(run, report);
  }

  /** Compares the measured speed with the upstream's own best and its peers. */
  updateStraggler(peerSlowdown: number): void {
    const slowdown = this.slowdown();
    const bound = STRAGGLER_FACTOR * Math.max(1, peerSlowdown);
    this.isStraggler = slowdown > bound;
  }

  /** Ratio of the measured token interval to the best seen. */
  slowdown(): number {
    if (this.bestTokenIntervalMs === null) return 1;
    return this.tokenIntervalMs / this.bestTokenIntervalMs;
  }

  /** Learns the time in milliseconds between two tokens of a stream. */
  recordTokenInterval(sampleMs: number): void {
    if (this.bestTokenIntervalMs === null) {
      this.tokenIntervalMs = sampleMs;
      this.bestTokenIntervalMs = sampleMs;
      return;
    }
    // A sudden slowdown has to be seen within seconds; speed is trusted slowly.
    const isSlow = sampleMs > this.tokenIntervalMs * SLOW_SAMPLE_FACTOR;
    const weight = isSlow ? SLOW_SAMPLE_SMOOTHING : RATE_SMOOTHING;
    this.tokenIntervalMs += weight * (sampleMs - this.tokenIntervalMs);
    this.bestTokenIntervalMs = Math.min(
      this.bestTokenIntervalMs,
      this.tokenIntervalMs,
    );
  }

  /** Takes a load report over. */
  applyLoad(load: LoadReport): void {
    this.failedPolls = 0;
    if (this.isDown) {
      // A restarted engine has an empty cache.
      this.prefixes.clear();
      this.isDown = false;
    }
    this.lastLoad = load;
    if (load.leaving) this.saidLeaving = true;
    this.prefixes.evict(load.evicted);
  }

  private observeRates(run: ActiveRun, report: ReleaseReport): void {
    const {firstTokenMs, decodeMs, outputTokens} = report;
    const computed = report.computedPromptTokens ?? run.uncachedTokens;
    if (firstTokenMs !== null && firstTokenMs > 0 && computed > 0) {
      // Time in the engine's own queue makes this a lower bound of the rate.
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
    const least = this.tokenIntervalMs / MS_PER_SECOND;
    return Math.max(least, prefill + decode - elapsed);
  }
}

/** Finds stragglers: an upstream is slow against its peers, not by itself. */
export function updateStragglers(states: readonly UpstreamState[]): void {
  const slowdowns = states.map(state => state.slowdown());
  slowdowns.sort((a, b) => a - b);
  const median = slowdowns[Math.floor(slowdowns.length / 2)] ?? 1;
  for (const state of states) state.updateStraggler(median);
}

/** Requests that were started before a time, by their entry. */
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
