import {
  ACCEPTED_AFTER_MS,
  BREAKS_BEFORE_BACKOFF,
  FAILURE_SMOOTHING_FACTOR,
  FULL_AFTER_REJECTION_MS,
  INITIAL_BACKOFF_MS,
  LOAD_TOLERANCE,
  MAX_BACKOFF_MS,
  MIN_STALL_MS,
  REPEATABLE_ONLY_MS,
  REPLACED_BACKOFF_MS,
  REPORTED_LOAD_TTL_MS,
  RUN_END,
  STALL_FACTOR,
  TIME_SMOOTHING_FACTOR,
} from './constants.js';
import {UpstreamSpeed} from './estimates/upstream_speed.js';
import type {EndReport, ReportedLoad, RunEnd, UpstreamSpec} from './types.js';

/** A granted request that occupies a slot until its end is reported. */
export interface ActiveRun {
  readonly requestId: string;
  readonly entryId: string;
  /** Prompt tokens that the upstream has to read. */
  readonly promptTokens: number;
  /** Tier of the request; Infinity if it is not known. */
  readonly tier: number;
  /**
   * Longest acceptable milliseconds between two events; null without a bound, or
   * if the stream is late anyhow.
   */
  readonly maxEventGapMs: number | null;
  readonly grantedAtMs: number;
  readonly expectedStartMs: number;
  /**
   * Milliseconds in which an upstream of median speed would read its prompt and
   * those before it; 0 for a request that is not a stream with a bound.
   */
  readonly medianReadMs: number;
  hasStarted: boolean;
  /** Time at which it was granted or its entry last reported it. */
  confirmedAtMs: number;
}

/** Exponential moving average; the first sample is taken as it is. */
function smooth(before: number | null, sample: number): number {
  return before === null
    ? sample
    : before + TIME_SMOOTHING_FACTOR * (sample - before);
}

/** Runs, health and speed of one upstream as its dispatcher tracks them. */
export class UpstreamState {
  /** Runs that have not ended, by request id. */
  readonly runs = new Map<string, ActiveRun>();
  /**
   * Moving average in milliseconds that represents the upstream's speed: of the
   * time between two stream events, or of a whole call where nothing is streamed.
   * Null before the first sample.
   */
  serviceTimeMs: number | null = null;
  /** Its speed as learnt from prompts; apart from `serviceTimeMs`. */
  readonly speed = new UpstreamSpeed();
  /** Time at which a run last sent its first byte. */
  lastStartAtMs = -Infinity;
  /** Moving average of the share of failed runs, from 0 to 1. */
  failureRate = 0;
  /** Backoffs since a newer run last responded. */
  private backoffCount = 0;
  /** Broken connections since a newer run last responded. */
  private breakCount = 0;
  /** Time of the last connection failure or timeout of the upstream. */
  private lastFailureMs = -Infinity;
  private backoffUntilMs = -Infinity;
  private repeatableOnlyUntilMs = -Infinity;
  private lastResponseMs = -Infinity;
  /** Estimated runs that this dispatcher did not grant. */
  private externalRuns = 0;
  private externalRunsUntilMs = -Infinity;
  /** Time at which the upstream last told its load. */
  private loadToldAtMs = -Infinity;
  /** Runs that it had then beyond those that it had accepted from here. */
  private toldExternalRuns = 0;

  constructor(public spec: UpstreamSpec) {}

  /** Whether new requests may be placed there. */
  isUsable(nowMs: number): boolean {
    if (this.spec.isLeaving || nowMs < this.backoffUntilMs) return false;
    return !this.isStalled(nowMs);
  }

  /**
   * Whether requests that must not run twice may be placed there. After a failure
   * the upstream is probed with repeatable requests first. Where accepted
   * connections broke, this lasts a while, since such faults may be intermittent.
   */
  acceptsNonRepeatable(nowMs: number): boolean {
    if (nowMs < this.repeatableOnlyUntilMs) return false;
    return !this.isOnTrial || nowMs > this.backoffUntilMs + REPEATABLE_ONLY_MS;
  }

  /** Whether it has not recovered from a backoff; one run at a time probes it. */
  get isOnTrial(): boolean {
    return this.backoffCount > 0;
  }

  /** Estimated number of free slots; negative if the upstream is overcommitted. */
  freeSlots(nowMs: number): number {
    const external = nowMs < this.externalRunsUntilMs ? this.externalRuns : 0;
    // A single run probes whether a failed upstream has recovered.
    const limit = this.isOnTrial ? 1 : this.spec.slots;
    return limit - this.runs.size - external;
  }

  /** Confirms a reported run, or adds it if an earlier dispatcher granted it. */
  confirmRun(requestId: string, entryId: string, nowMs: number): void {
    const existing = this.runs.get(requestId);
    if (existing) {
      existing.confirmedAtMs = nowMs;
      return;
    }
    this.runs.set(requestId, {
      requestId,
      entryId,
      promptTokens: 0,
      tier: Infinity,
      maxEventGapMs: null,
      grantedAtMs: nowMs,
      expectedStartMs: 0,
      medianReadMs: 0,
      hasStarted: true,
      confirmedAtMs: nowMs,
    });
  }

  /** Drops runs that no entry has reported for `afterMs` milliseconds. */
  dropUnconfirmed(nowMs: number, afterMs: number): void {
    for (const run of [...this.runs.values()]) {
      if (nowMs - run.confirmedAtMs > afterMs) this.runs.delete(run.requestId);
    }
  }

  /** Records the first byte of a response. */
  recordStart(
    requestId: string,
    load: ReportedLoad | null,
    nowMs: number,
  ): void {
    const run = this.runs.get(requestId);
    if (run) {
      run.hasStarted = true;
      this.lastStartAtMs = nowMs;
      this.recordResponse(run, nowMs);
    }
    this.applyLoad(load, nowMs);
  }

  /** Removes an ended run and updates speed, failure rate and backoff with it. */
  recordEnd(report: EndReport, nowMs: number): void {
    const run = this.runs.get(report.requestId);
    this.runs.delete(report.requestId);
    this.applyLoad(report.load, nowMs);
    if (run && report.end === RUN_END.COMPLETED) {
      this.recordResponse(run, nowMs);
      this.serviceTimeMs = smooth(
        this.serviceTimeMs,
        report.eventGapMs ?? report.runMs,
      );
    }
    this.applyOutcome(report.end, nowMs);
  }

  /** Whether a run has begun to respond since the state was created. */
  get hasResponded(): boolean {
    return this.lastResponseMs > -Infinity;
  }

  /** Number of runs that have not sent a first byte yet. */
  get unstartedRuns(): number {
    let count = 0;
    for (const run of this.runs.values()) if (!run.hasStarted) count++;
    return count;
  }

  /** Number of runs of which it is not known whether they were accepted. */
  unconfirmedRuns(nowMs: number): number {
    let count = 0;
    for (const {hasStarted, grantedAtMs} of this.runs.values()) {
      if (!hasStarted && nowMs - grantedAtMs < ACCEPTED_AFTER_MS) count++;
    }
    return count;
  }

  /**
   * Number of slots that were free when the upstream last told its load, less the
   * runs that it has accepted; 0 if it told none recently.
   */
  knownFreeSlots(nowMs: number): number {
    if (nowMs - this.loadToldAtMs > REPORTED_LOAD_TTL_MS) return 0;
    const accepted = this.runs.size - this.unconfirmedRuns(nowMs);
    return Math.max(0, this.spec.slots - this.toldExternalRuns - accepted);
  }

  /** The first granted run that has not sent a first byte yet. */
  firstUnstarted(): ActiveRun | null {
    for (const run of this.runs.values()) if (!run.hasStarted) return run;
    return null;
  }

  /** Prompt tokens of the runs that have not sent a first byte yet. */
  pendingPromptTokens(): number {
    let tokens = 0;
    for (const run of this.runs.values()) {
      if (!run.hasStarted) tokens += run.promptTokens;
    }
    return tokens;
  }

  /** Records a response; that of a run newer than the failure ends the trial. */
  private recordResponse(run: ActiveRun, nowMs: number): void {
    this.lastResponseMs = nowMs;
    // Runs older than the failure may go on while new connections fail.
    if (run.grantedAtMs < this.lastFailureMs) return;
    // A single broken connection means little once later runs succeed.
    if (this.breakCount === 1) this.repeatableOnlyUntilMs = nowMs;
    this.backoffCount = 0;
    this.breakCount = 0;
  }

  /** Updates failure rate, backoff and restrictions with the end of a run. */
  private applyOutcome(end: RunEnd, nowMs: number): void {
    switch (end) {
      case RUN_END.COMPLETED:
        this.updateFailureRate(0);
        return;
      case RUN_END.FAILED:
        this.updateFailureRate(1);
        return;
      case RUN_END.SILENT:
        this.updateFailureRate(1);
        this.startBackoff(nowMs);
        return;
      case RUN_END.BROKEN:
        this.updateFailureRate(1);
        this.lastFailureMs = nowMs;
        this.breakCount++;
        if (this.breakCount >= BREAKS_BEFORE_BACKOFF) this.startBackoff(nowMs);
        this.restrictToRepeatable(nowMs);
        return;
      case RUN_END.UNREACHABLE:
        this.startBackoff(nowMs);
        return;
      case RUN_END.LEAVING:
      case RUN_END.REPLACED:
        this.backoffUntilMs = nowMs + REPLACED_BACKOFF_MS;
        return;
      case RUN_END.REJECTED:
        this.externalRuns = Math.max(0, this.spec.slots - this.runs.size);
        this.externalRunsUntilMs = nowMs + FULL_AFTER_REJECTION_MS;
        return;
      case RUN_END.CANCELLED:
        return;
    }
  }

  private updateFailureRate(sample: 0 | 1): void {
    this.failureRate += FAILURE_SMOOTHING_FACTOR * (sample - this.failureRate);
  }

  private restrictToRepeatable(nowMs: number): void {
    const startMs = Math.max(nowMs, this.backoffUntilMs);
    this.repeatableOnlyUntilMs = startMs + REPEATABLE_ONLY_MS;
  }

  private startBackoff(nowMs: number): void {
    this.lastFailureMs = nowMs;
    // Runs that fail during one backoff count as one failure.
    if (nowMs < this.backoffUntilMs) return;
    const lengthMs = INITIAL_BACKOFF_MS * 2 ** this.backoffCount;
    this.backoffCount++;
    this.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, lengthMs);
  }

  /** Whether a run has waited for its first byte far longer than expected. */
  private isStalled(nowMs: number): boolean {
    for (const run of this.runs.values()) {
      if (run.hasStarted) continue;
      const sinceMs = Math.max(run.grantedAtMs, this.lastResponseMs);
      const limitMs = Math.max(
        MIN_STALL_MS,
        STALL_FACTOR * run.expectedStartMs,
      );
      if (nowMs - sinceMs > limitMs) return true;
    }
    return false;
  }

  /** Updates the runs of others with a load that the upstream reported. */
  private applyLoad(load: ReportedLoad | null, nowMs: number): void {
    if (!load) return;
    const total = load.running + load.waiting;
    this.loadToldAtMs = nowMs;
    const accepted = this.runs.size - this.unconfirmedRuns(nowMs);
    this.toldExternalRuns = Math.max(0, total - accepted);
    // Load beyond this dispatcher's own runs comes from elsewhere.
    const external = total - this.runs.size;
    this.externalRuns = Math.max(0, external - LOAD_TOLERANCE);
    this.externalRunsUntilMs = nowMs + REPORTED_LOAD_TTL_MS;
  }
}
