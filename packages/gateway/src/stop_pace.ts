import {
  LONG_PACE_WINDOW_MS,
  MIN_CORE_SHARE,
  PACE_INTERVAL_MS,
  PACE_WINDOW_MS,
} from './stop_constants.js';

/** What a process gets of a core. */
export interface Pace {
  /** Share of a core that it gets, above 0 and at most 1. */
  readonly coreShare: number;
  /** Longest time in milliseconds for which it got none. */
  readonly longestStallMs: number;
}

/** Time between two measurements. */
interface Gap {
  readonly endMs: number;
  readonly lengthMs: number;
  readonly ranMs: number;
}

/**
 * Measures the pace of a process by a timer: when it is late for other reasons than
 * the process's own work, the process was not run meanwhile.
 */
export class StopPace {
  private readonly latest = new PaceWindow(PACE_WINDOW_MS);
  private readonly longer = new PaceWindow(LONG_PACE_WINDOW_MS);

  /** Begins at a monotonic time with the processor time used; in milliseconds. */
  constructor(
    private lastMs: number,
    private lastCpuMs: number,
  ) {}

  /** When it was measured last, in monotonic milliseconds. */
  get recordedAtMs(): number {
    return this.lastMs;
  }

  /** The pace: the worse one of a short and a longer time, the stall of the first. */
  get pace(): Pace {
    const {latest, longer} = this;
    const coreShare = Math.min(latest.coreShare, longer.coreShare);
    const {longestStallMs} = latest;
    return {coreShare: Math.max(MIN_CORE_SHARE, coreShare), longestStallMs};
  }

  /** Records a run of the timer. */
  record(nowMs: number, cpuMs: number): void {
    const lengthMs = nowMs - this.lastMs;
    const usedMs = cpuMs - this.lastCpuMs;
    this.lastMs = nowMs;
    this.lastCpuMs = cpuMs;
    const isInTime = lengthMs <= 2 * PACE_INTERVAL_MS;
    const ranMs = isInTime ? lengthMs : Math.min(lengthMs, usedMs);
    const gap = {endMs: nowMs, lengthMs, ranMs};
    this.latest.add(gap);
    this.longer.add(gap);
  }
}

/** The gaps that ended within some milliseconds. */
class PaceWindow {
  private readonly gaps: Gap[] = [];
  private totalMs = 0;
  private ranMs = 0;

  constructor(private readonly windowMs: number) {}

  get coreShare(): number {
    return this.gaps.length === 0 ? 1 : this.ranMs / this.totalMs;
  }

  get longestStallMs(): number {
    let longestMs = 0;
    for (const {lengthMs, ranMs} of this.gaps) {
      longestMs = Math.max(longestMs, lengthMs - ranMs);
    }
    return longestMs;
  }

  add(gap: Gap): void {
    this.gaps.push(gap);
    this.count(gap, 1);
    while (this.gaps[0]!.endMs < gap.endMs - this.windowMs) {
      this.count(this.gaps.shift()!, -1);
    }
  }

  private count({lengthMs, ranMs}: Gap, sign: 1 | -1): void {
    this.totalMs += sign * lengthMs;
    this.ranMs += sign * ranMs;
  }
}
