/**
 * Start tags of start-time fair queueing over the client accounts of one tier.
 * The tag of each request grows with its account's tokens divided by the
 * account's weight; the request with the lowest tag goes first.
 */
export class FairQueueTags {
  private virtualTime = 0;
  private readonly lastFinishTags = new Map<string, number>();

  /** Assigns the start tag of an arriving request of `tokens` tokens. */
  assignStartTag(accountId: string, weight: number, tokens: number): number {
    const start = Math.max(
      this.virtualTime,
      this.lastFinishTags.get(accountId) ?? 0,
    );
    this.lastFinishTags.set(accountId, start + tokens / weight);
    return start;
  }

  /** Advances the virtual time to the start tag of a request that starts. */
  advanceVirtualTime(tag: number): void {
    if (tag <= this.virtualTime) return;
    this.virtualTime = tag;
    // An idle account earns no credit: its next tag is the virtual time.
    for (const [id, finish] of this.lastFinishTags) {
      if (finish <= tag) this.lastFinishTags.delete(id);
    }
  }
}
