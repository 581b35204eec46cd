import {ENTRY_TIMEOUT_MS} from './constants.js';
import type {ActiveRun, UpstreamState} from './upstream_state.js';

/** Whether a run has lasted longer than expected and must have ended. */
export type IsRunOverdue = (run: ActiveRun, state: UpstreamState) => boolean;

/**
 * Tracks which entries have stopped responding. Nobody reports the end of their
 * runs, which would occupy their slots forever.
 */
export class EntryMonitor {
  private readonly lastContactMs = new Map<string, number>();
  private readonly unresponsive = new Set<string>();

  /** Records a message from an entry, which makes it responsive again. */
  recordContact(entryId: string, nowMs: number): void {
    this.lastContactMs.set(entryId, nowMs);
    this.unresponsive.delete(entryId);
  }

  /** Marks an entry that does not answer, until its next message. */
  markSuspected(entryId: string): void {
    this.unresponsive.add(entryId);
  }

  /**
   * Drops the runs of lost entries: all runs of an entry whose last message is
   * older than `ENTRY_TIMEOUT_MS`, and the overdue runs of an unresponsive one.
   */
  dropRuns(
    states: Iterable<UpstreamState>,
    nowMs: number,
    isOverdue: IsRunOverdue,
  ): void {
    const timedOut = new Set<string>();
    for (const [entryId, contactMs] of this.lastContactMs) {
      if (nowMs - contactMs <= ENTRY_TIMEOUT_MS) continue;
      timedOut.add(entryId);
      this.lastContactMs.delete(entryId);
      this.unresponsive.delete(entryId);
    }
    if (timedOut.size === 0 && this.unresponsive.size === 0) return;
    for (const state of states) {
      for (const run of [...state.runs.values()]) {
        const isLost =
          timedOut.has(run.entryId) ||
          (this.unresponsive.has(run.entryId) && isOverdue(run, state));
        if (isLost) state.runs.delete(run.requestId);
      }
    }
  }
}
