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
  /** When a sign of life is due; Infinity while none is expected. */
  private dueAtMs = Infinity;
  private timeoutMs = 0;
  private timer: NodeJS.Timeout | null = null;
  private timerEndsAtMs = Infinity;

  constructor(
    private readonly seekOther: SeekOther,
    private readonly abandon: () => void,
  ) {}

  /** Expects a sign of life within some milliseconds; ends a present search. */
  expectWithin(timeoutMs: number): void {
    this.pause();
    if (this.hasOther) return;
    this.timeoutMs = timeoutMs;
    this.dueAtMs = performance.now() + timeoutMs;
    // A timer that ends too early is set again then, not at each event.
    if (this.timer && this.timerEndsAtMs <= this.dueAtMs) return;
    this.setTimer();
  }

  /** Expects nothing until `expectWithin` is called again. */
  pause(): void {
    this.search?.abort();
    this.search = null;
    this.dueAtMs = Infinity;
  }

  /** The same, at the end of the send. */
  stop(): void {
    this.pause();
    this.clearTimer();
  }

  private setTimer(): void {
    this.clearTimer();
    this.timerEndsAtMs = this.dueAtMs;
    const leftMs = Math.max(0, Math.ceil(this.dueAtMs - performance.now()));
    this.timer = setTimeout(() => this.check(), leftMs);
  }

  private clearTimer(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
  }

  private check(): void {
    this.timer = null;
    if (this.dueAtMs === Infinity) return;
    if (performance.now() < this.dueAtMs) this.setTimer();
    else void this.seek(this.timeoutMs);
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
