import {
  BREAKS_BEFORE_BACKOFF,
  FAILURE_SMOOTHING_FACTOR,
  INITIAL_BACKOFF_MS,
  REPORTED_LOAD_TTL_MS,
  TIME_SMOOTHING_FACTOR,
  LOAD_TOLERANCE,
  MAX_BACKOFF_MS,
  MIN_STALL_MS,
  FULL_AFTER_REJECTION_MS,
  REPLACED_BACKOFF_MS,
  RUN_END,
  REPEATABLE_ONLY_MS,
  STALL_FACTOR,
} from './constants.js';
import type {EndReport, ReportedLoad, RunEnd, UpstreamSpec} from './types.js';

/** A granted request that has not ended. */
export interface Run {
  readonly requestId: string;
  readonly entryId: string;
  readonly promptTokens: number;
  readonly grantedAtMs: number;
  readonly expectedStartMs: number;
  hasStarted: boolean;
  /** When it was granted, or its entry last named it. */
  confirmedAtMs: number;
}

function learn(before: number | null, sample: number): number {
  return before === null
    ? sample
    : before + TIME_SMOOTHING_FACTOR * (sample - before);
}

/** What a dispatcher knows of one upstream. */
export class UpstreamState {
  readonly runs = new Map<string, Run>();
  /**
   * Time in milliseconds that stands for the upstream's speed: between two
   * events of a stream, or of a whole call. Null before the first sample.
   */
  serviceTimeMs: number | null = null;
  /** Share of failed runs, the newest counting most. */
  failureRate = 0;
  private failuresInRow = 0;
  private brokenInRow = 0;
  /** When a failure last told something about the upstream itself. */
  private lastFailureMs = -Infinity;
  private pausedUntilMs = -Infinity;
  private distrustedUntilMs = -Infinity;
  private lastSignMs = -Infinity;
  private foreignRuns = 0;
  private foreignUntilMs = -Infinity;

  constructor(public spec: UpstreamSpec) {}

  /** Whether new work may go there. */
  isUsable(nowMs: number): boolean {
    if (this.spec.isLeaving || nowMs < this.pausedUntilMs) return false;
    return !this.isStalled(nowMs);
  }

  /**
   * Whether a request may go there that must not be repeated: one that failed is
   * first tried with others. Where connections broke after they were accepted,
   * that takes a while, since such an upstream may come and go.
   */
  acceptsNonRepeatable(nowMs: number): boolean {
    if (nowMs < this.distrustedUntilMs) return false;
    return !this.isOnTrial || nowMs > this.pausedUntilMs + REPEATABLE_ONLY_MS;
  }

  /** Whether its last sign was a failure, so that one run tries it. */
  get isOnTrial(): boolean {
    return this.failuresInRow > 0;
  }

  /** Slots that are free, as far as is known. */
  freeSlots(nowMs: number): number {
    const foreign = nowMs < this.foreignUntilMs ? this.foreignRuns : 0;
    // One run at a time shows whether an upstream that failed is back.
    const limit = this.isOnTrial ? 1 : this.spec.slots;
    return limit - this.runs.size - foreign;
  }

  /** Counts a run that an earlier dispatcher granted. */
  confirmRun(requestId: string, entryId: string, nowMs: number): void {
    const known = this.runs.get(requestId);
    if (known) {
      known.confirmedAtMs = nowMs;
      return;
    }
    this.runs.set(requestId, {
      requestId,
      entryId,
      promptTokens: 0,
      grantedAtMs: nowMs,
      expectedStartMs: 0,
      hasStarted: true,
      confirmedAtMs: nowMs,
    });
  }

  /** Forgets runs that no entry has named for some milliseconds. */
  dropUnconfirmed(nowMs: number, afterMs: number): void {
    for (const run of [...this.runs.values()]) {
      if (nowMs - run.confirmedAtMs > afterMs) this.runs.delete(run.requestId);
    }
  }

  /** Records a sign of life: the first byte of an answer. */
  recordStart(
    requestId: string,
    load: ReportedLoad | null,
    nowMs: number,
  ): void {
    const run = this.runs.get(requestId);
    if (run) {
      run.hasStarted = true;
      this.sawSign(run, nowMs);
    }
    this.applyLoad(load, nowMs);
  }

  /** Records the end of a run and learns from it. */
  recordEnd(report: EndReport, nowMs: number): void {
    const run = this.runs.get(report.requestId);
    this.runs.delete(report.requestId);
    this.applyLoad(report.load, nowMs);
    if (run && report.end === RUN_END.COMPLETED) {
      this.sawSign(run, nowMs);
      this.serviceTimeMs = learn(
        this.serviceTimeMs,
        report.eventGapMs ?? report.runMs,
      );
    }
    this.judge(report.end, nowMs);
  }

  /** Prompt tokens that were sent here and are not computed yet. */
  pendingPromptTokens(): number {
    let tokens = 0;
    for (const run of this.runs.values()) {
      if (!run.hasStarted) tokens += run.promptTokens;
    }
    return tokens;
  }

  private sawSign(run: Run, nowMs: number): void {
    this.lastSignMs = nowMs;
    // Older runs may go on while new connections fail.
    if (run.grantedAtMs < this.lastFailureMs) return;
    // A single break says little once others get through.
    if (this.brokenInRow === 1) this.distrustedUntilMs = nowMs;
    this.failuresInRow = 0;
    this.brokenInRow = 0;
  }

  private judge(end: RunEnd, nowMs: number): void {
    switch (end) {
      case RUN_END.COMPLETED:
        this.learnFailure(0);
        return;
      case RUN_END.FAILED:
        this.learnFailure(1);
        return;
      case RUN_END.SILENT:
        this.learnFailure(1);
        this.pause(nowMs);
        return;
      case RUN_END.BROKEN:
        this.learnFailure(1);
        this.lastFailureMs = nowMs;
        this.brokenInRow++;
        if (this.brokenInRow >= BREAKS_BEFORE_BACKOFF) this.pause(nowMs);
        this.distrust(nowMs);
        return;
      case RUN_END.UNREACHABLE:
        this.pause(nowMs);
        return;
      case RUN_END.LEAVING:
      case RUN_END.REPLACED:
        this.pausedUntilMs = nowMs + REPLACED_BACKOFF_MS;
        return;
      case RUN_END.REJECTED:
        this.foreignRuns = Math.max(0, this.spec.slots - this.runs.size);
        this.foreignUntilMs = nowMs + FULL_AFTER_REJECTION_MS;
        return;
      case RUN_END.CANCELLED:
        return;
    }
  }

  private learnFailure(sample: 0 | 1): void {
    this.failureRate += FAILURE_SMOOTHING_FACTOR * (sample - this.failureRate);
  }

  private distrust(nowMs: number): void {
    const fromMs = Math.max(nowMs, this.pausedUntilMs);
    this.distrustedUntilMs = fromMs + REPEATABLE_ONLY_MS;
  }

  private pause(nowMs: number): void {
    this.lastFailureMs = nowMs;
    // Runs that fail together are one failure.
    if (nowMs < this.pausedUntilMs) return;
    const lengthMs = INITIAL_BACKOFF_MS * 2 ** this.failuresInRow;
    this.failuresInRow++;
    this.pausedUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, lengthMs);
  }

  /** Whether something waits for its start far longer than expected. */
  private isStalled(nowMs: number): boolean {
    for (const run of this.runs.values()) {
      if (run.hasStarted) continue;
      const since = Math.max(run.grantedAtMs, this.lastSignMs);
      const limit = Math.max(MIN_STALL_MS, STALL_FACTOR * run.expectedStartMs);
      if (nowMs - since > limit) return true;
    }
    return false;
  }

  private applyLoad(load: ReportedLoad | null, nowMs: number): void {
    if (!load) return;
    // What the upstream counts beyond our own runs is work of others.
    const beyond = load.running + load.waiting - this.runs.size;
    this.foreignRuns = Math.max(0, beyond - LOAD_TOLERANCE);
    this.foreignUntilMs = nowMs + REPORTED_LOAD_TTL_MS;
  }
}
