import type {Logger} from '@fescuespool/common';

/** The response whose bytes are held, for the log, and how to give it up. */
export interface HeldResponse {
  readonly requestId: string;
  readonly upstreamId: string;
  /** Closes its connection. */
  readonly abort: () => void;
}

/** The part of a budget that one response holds. */
export interface BudgetShare {
  /** Whether the response was given up for the budget. */
  readonly isDropped: boolean;
  /** Sets the number of bytes that the response holds; it may be given up. */
  readonly resize: (bytes: number) => void;
  /** Marks the response as complete: it is not given up any more. */
  readonly complete: () => void;
  /** Returns the bytes. */
  readonly release: () => void;
}

/**
 * Bounds the bytes of responses that are held, over all of them. The largest
 * incomplete ones are given up first, so that responses without end don't fail
 * the others.
 */
export class ResponseBudget {
  private heldBytes = 0;
  private readonly shares = new Set<Share>();

  constructor(
    /** Bytes that all responses may hold together. */
    private readonly budgetBytes: number,
    private readonly log: Logger,
    private readonly recordDropped: () => void,
  ) {}

  /** Number of bytes that are held. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Opens the share of a response, which holds nothing yet. */
  open(response: HeldResponse): BudgetShare {
    const share: Share = new Share(response, bytes => {
      this.heldBytes += bytes - share.bytes;
      share.bytes = bytes;
      if (bytes === 0) this.shares.delete(share);
      else this.shares.add(share);
      this.dropExcess();
    });
    return share;
  }

  private dropExcess(): void {
    while (this.heldBytes > this.budgetBytes) {
      const largest = this.largestIncomplete();
      if (!largest) return;
      const {requestId, upstreamId} = largest.response;
      this.log.warn('response_dropped', {
        id: requestId,
        upstream: upstreamId,
        bytes: largest.bytes,
        heldBytes: this.heldBytes,
        budgetBytes: this.budgetBytes,
      });
      this.recordDropped();
      largest.drop();
    }
  }

  private largestIncomplete(): Share | null {
    let largest: Share | null = null;
    for (const share of this.shares) {
      if (share.isComplete) continue;
      if (!largest || share.bytes > largest.bytes) largest = share;
    }
    return largest;
  }
}

class Share implements BudgetShare {
  bytes = 0;
  isDropped = false;
  isComplete = false;

  constructor(
    readonly response: HeldResponse,
    private readonly setBytes: (bytes: number) => void,
  ) {}

  resize(bytes: number): void {
    if (!this.isDropped && bytes !== this.bytes) this.setBytes(bytes);
  }

  complete(): void {
    this.isComplete = true;
  }

  release(): void {
    this.resize(0);
  }

  drop(): void {
    this.release();
    this.isDropped = true;
    this.response.abort();
  }
}
