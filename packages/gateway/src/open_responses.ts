import type {ServerResponse} from 'node:http';

/** Responses that are not complete, by how far they have come. */
export interface OpenResponseCounts {
  /** Responses without a head. */
  readonly waiting: number;
  /** Responses whose head has been written, but not the end of their body. */
  readonly begun: number;
  /** Responses that were written to their end, but have not all been sent. */
  readonly unsent: number;
  /** Bytes of all of them that wait to be sent. */
  readonly unsentBytes: number;
}

/**
 * Responses that callers wait for. Each is open until the operating system has
 * all of its bytes, or its connection is closed.
 */
export class OpenResponses {
  private readonly open = new Set<ServerResponse>();

  constructor(private readonly onEmpty: () => void) {}

  /** Number of open responses. */
  get count(): number {
    return this.open.size;
  }

  /** Follows a response to its end. */
  add(res: ServerResponse): void {
    this.open.add(res);
    res.once('close', () => {
      this.open.delete(res);
      if (this.open.size === 0) this.onEmpty();
    });
  }

  /** Counts the open responses by how far they have come. */
  countByState(): OpenResponseCounts {
    let waiting = 0;
    let begun = 0;
    let unsent = 0;
    let unsentBytes = 0;
    for (const res of this.open) {
      if (!res.headersSent) waiting++;
      else if (!res.writableEnded) begun++;
      else unsent++;
      unsentBytes += res.writableLength;
    }
    return {waiting, begun, unsent, unsentBytes};
  }
}
