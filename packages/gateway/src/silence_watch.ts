/** Factor of the time from one unsuccessful search to the next. */
const SEARCH_BACKOFF_FACTOR = 2;

/**
 * Looks for another upstream; calls `onFound` if there is one before the signal
 * is aborted, and resolves when the search has ended.
 */
export type SeekOther = (
  signal: AbortSignal,
  onFound: () => void,
) => Promise<void>;

/**
 * Has another upstream looked for while the present one is silent. The send is
 * abandoned only once there is one.
 */
export class SilenceWatch {
  /** Whether the send was abandoned for another upstream. */
  hasOther = false;
  private search: AbortController | null = null;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly seekOther: SeekOther,
    private readonly abandon: () => void,
  ) {}

  /** Expects a sign of life within some milliseconds; ends a present search. */
  expectWithin(timeoutMs: number): void {
    this.stop();
    if (this.hasOther) return;
    this.timer = setTimeout(() => void this.seek(timeoutMs), timeoutMs);
  }

  /** Expects nothing until `expectWithin` is called again. */
  stop(): void {
    this.search?.abort();
    this.search = null;
    if (this.timer) clearTimeout(this.timer);
  }

  private async seek(timeoutMs: number): Promise<void> {
    const search = new AbortController();
    this.search = search;
    await this.seekOther(search.signal, () => {
      this.hasOther = true;
      this.abandon();
    });
    if (search.signal.aborted) return;
    this.expectWithin(SEARCH_BACKOFF_FACTOR * timeoutMs);
  }
}
