import {
  LONG_PACE_WINDOW_MS,
  MIN_CORE_SHARE,
  PACE_INTERVAL_MS,
  PACE_WINDOW_MS,
  SINGLE_STALL_FACTOR,
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
  /** Whether there was time after it to wait for more like it. */
  readonly isEarly: boolean;
}

/**
 * Measures the pace of a process by a timer: when it is late for other reasons than
 * the process's own work, the process was not run meanwhile.
 */
export class StopPace {
  private readonly latest = new PaceWindow(PACE_WINDOW_MS);
  private readonly longer = new PaceWindow(LONG_PACE_WINDOW_MS);

  /**
   * Begins at a monotonic time with the processor time used; the process is ended
   * by force at `exitAtMs`; all in milliseconds.
   */
  constructor(
    private lastMs: number,
    private lastCpuMs: number,
    private readonly exitAtMs: number,
  ) {}

  /** When it was measured last, in monotonic milliseconds. */
  get recordedAtMs(): number {
    return this.lastMs;
  }

  /**
   * The pace: the worse one of a short and a longer time, the stall of the first. The
   * longest stall is left out if it is early: a single one is no evidence of a scarce
   * core, and there is time to wait for another.
   */
  get pace(): Pace {
    const {longest} = this.longer;
    const single = longest?.isEarly ? longest : null;
    const latest = this.latest.paceWithout(single);
    const longer = this.longer.paceWithout(single);
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
    const isEarly =
      this.exitAtMs - nowMs > SINGLE_STALL_FACTOR * (lengthMs - ranMs);
    const gap = {endMs: nowMs, lengthMs, ranMs, isEarly};
    this.latest.add(gap);
    this.longer.add(gap);
  }
}

/** The gaps that ended within some milliseconds. */
class PaceWindow {
  private readonly gaps: Gap[] = [];

  constructor(private readonly windowMs: number) {}

  /** The gap in which the process was not run for longest. */
  get longest(): Gap | null {
    let longest: Gap | null = null;
    for (const gap of this.gaps) {
      if (!longest || stallMsOf(gap) > stallMsOf(longest)) longest = gap;
    }
    return longest;
  }

  /** The pace in all gaps but one. */
  paceWithout(omitted: Gap | null): Pace {
    let totalMs = 0;
    let ranMs = 0;
    let longestStallMs = 0;
    for (const gap of this.gaps) {
      if (gap === omitted) continue;
      totalMs += gap.lengthMs;
      ranMs += gap.ranMs;
      longestStallMs = Math.max(longestStallMs, stallMsOf(gap));
    }
    return {coreShare: totalMs > 0 ? ranMs / totalMs : 1, longestStallMs};
  }

  add(gap: Gap): void {
    this.gaps.push(gap);
    while (this.gaps[0]!.endMs < gap.endMs - this.windowMs) this.gaps.shift();
  }
}

function stallMsOf({lengthMs, ranMs}: Gap): number {
  return lengthMs - ranMs;
}
