import {sleep} from '@fescuespool/common';
import {MAX_STARTUP_WAIT_MS} from './constants.js';

/** Holds requests back until a new process can serve them. */
export class StartupGate {
  private readonly listeners = new Set<() => void>();

  constructor(private readonly isOpen: () => boolean) {}

  /** Resolves once the gate is open, at the latest after MAX_STARTUP_WAIT_MS. */
  async whenOpen(): Promise<void> {
    if (this.isOpen()) return;
    let listener: () => void = () => undefined;
    const opened = new Promise<void>(resolve => {
      listener = resolve;
      this.listeners.add(listener);
    });
    await Promise.race([opened, sleep(MAX_STARTUP_WAIT_MS)]);
    this.listeners.delete(listener);
  }

  /** Lets the waiting requests on if the gate is open now. */
  check(): void {
    if (!this.isOpen()) return;
    for (const listener of this.listeners) listener();
    this.listeners.clear();
  }
}
