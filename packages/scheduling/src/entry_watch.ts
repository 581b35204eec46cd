import {ENTRY_TIMEOUT_MS} from './constants.js';
import type {Run, UpstreamState} from './upstream_state.js';

/** Whether a run must have ended by now. */
export type IsRunOverdue = (run: Run, state: UpstreamState) => boolean;

/**
 * Knows which entries have fallen silent. Nobody tells the end of their runs, so
 * that these would hold their slots for ever.
 */
export class EntryMonitor {
  private readonly heardAtMs = new Map<string, number>();
  private readonly unanswering = new Set<string>();

  /** Notes a sign of life of an entry. */
  recordContact(entryId: string, nowMs: number): void {
    this.heardAtMs.set(entryId, nowMs);
    this.unanswering.delete(entryId);
  }

  /** Notes that an entry does not answer. */
  markUnresponsive(entryId: string): void {
    this.unanswering.add(entryId);
  }

  /**
   * Drops the runs of silent entries: all of one that was not heard for long, and
   * those that must be over of one that does not answer.
   */
  dropRuns(
    states: Iterable<UpstreamState>,
    nowMs: number,
    isOver: IsRunOverdue,
  ): void {
    const gone = new Set<string>();
    for (const [entryId, heardMs] of this.heardAtMs) {
      if (nowMs - heardMs <= ENTRY_TIMEOUT_MS) continue;
      gone.add(entryId);
      this.heardAtMs.delete(entryId);
      this.unanswering.delete(entryId);
    }
    if (gone.size === 0 && this.unanswering.size === 0) return;
    for (const state of states) {
      for (const run of [...state.runs.values()]) {
        const isLost =
          gone.has(run.entryId) ||
          (this.unanswering.has(run.entryId) && isOver(run, state));
        if (isLost) state.runs.delete(run.requestId);
      }
    }
  }
}
