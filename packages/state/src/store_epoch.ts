/**
 * Number of times that the store has been restored from a copy, as far as known.
 * A restore loses what the store acknowledged after the copy.
 */
export class StoreEpoch {
  private known = 0;
  private readonly listeners: Array<() => void> = [];

  /** Highest epoch that is known. */
  get current(): number {
    return this.known;
  }

  /** Adds a listener that is called when a later epoch is known. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Records an epoch that the store or a peer has named. */
  record(epoch: number): void {
    if (epoch <= this.known) return;
    this.known = epoch;
    for (const listener of this.listeners) listener();
  }
}
