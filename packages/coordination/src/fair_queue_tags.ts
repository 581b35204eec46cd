/**
 * Start-time fair queueing over the accounts of one tier: each request gets a
 * tag that grows with the tokens of its account divided by the account's
 * weight, and the lowest tag goes first.
 */
export class FairQueueTags {
  private virtualTime = 0;
  private readonly lastFinishTags = new Map<string, number>();

  /** Makes the tag of an arriving request. */
  assignStartTag(accountId: string, weight: number, tokens: number): number {
    const start = Math.max(
      this.virtualTime,
      this.lastFinishTags.get(accountId) ?? 0,
    );
    this.lastFinishTags.set(accountId, start + tokens / weight);
    return start;
  }

  /** Advances the virtual time to the tag of a request that starts. */
  advanceVirtualTime(tag: number): void {
    if (tag <= this.virtualTime) return;
    this.virtualTime = tag;
    // An account that lags behind the virtual time has no credit to remember.
    for (const [id, finish] of this.lastFinishTags) {
      if (finish <= tag) this.lastFinishTags.delete(id);
    }
  }
}
