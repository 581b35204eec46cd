import type {IncomingMessage} from 'node:http';

/**
 * Largest part of what is left that one head may take, so that callers with small
 * heads find room beside any number of large ones.
 */
const MAX_SHARE_OF_ROOM = 0.125;

/** Heap in bytes that a header field holds beside its text, raw and parsed. */
const FIELD_BYTES = 128;

/** Heap in bytes that a request and its response hold beside the head. */
const REQUEST_BYTES = 5_000;

/** Part of the limit from which on requests are not read ahead. */
const SCARCE_SHARE = 0.5;

/** Copies of the text while a request is sent on. */
const TEXT_COPIES = 2;

/** Fields that keep the framing of a body known. */
const FRAMING_FIELDS = ['content-length', 'transfer-encoding'] as const;

/** A connection whose heads are held, some of which it can give up. */
export interface HeadHolder {
  /** Bytes of heads of requests that have not been begun. */
  readonly droppableBytes: number;
  /** Gives these up. */
  readonly drop: () => void;
}

/** Bounds the bytes that the heads of requests hold, over all connections. */
export class HeadBudget {
  private held = 0;
  private readonly holders = new Set<HeadHolder>();

  constructor(
    private readonly limitBytes = Infinity,
    /** Called when more is held than before. */
    private readonly onCharged: () => void = () => undefined,
  ) {}

  /** Number of bytes that are held. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether so much is held that no connection is to be read ahead. */
  get isScarce(): boolean {
    return this.held > SCARCE_SHARE * this.limitBytes;
  }

  /** Whether a head of this number of bytes has room while nothing is held. */
  canHold(bytes: number): boolean {
    return bytes <= MAX_SHARE_OF_ROOM * this.limitBytes;
  }

  /** Changes the number of bytes that are held. */
  charge(bytes: number): void {
    this.held += bytes;
    if (bytes > 0) this.onCharged();
  }

  /** Lets a connection be asked to give up heads. */
  add(holder: HeadHolder): void {
    this.holders.add(holder);
  }

  /** Forgets a connection. */
  remove(holder: HeadHolder): void {
    this.holders.delete(holder);
  }

  /**
   * Makes room for a number of bytes that are not held yet: of the connections
   * that can give up more than these, the one with the most goes first. Returns
   * whether there is room.
   */
  makeRoom(bytes: number): boolean {
    while (bytes > MAX_SHARE_OF_ROOM * (this.limitBytes - this.held)) {
      const largest = this.largestHolder(bytes);
      if (!largest) return false;
      largest.drop();
    }
    return true;
  }

  private largestHolder(minBytes: number): HeadHolder | null {
    let largest: HeadHolder | null = null;
    let largestBytes = minBytes;
    for (const holder of this.holders) {
      const {droppableBytes} = holder;
      if (droppableBytes <= largestBytes) continue;
      largest = holder;
      largestBytes = droppableBytes;
    }
    return largest;
  }
}

/** Estimates the bytes that a request holds beside its body. */
export function headBytesOf({rawHeaders, url = ''}: IncomingMessage): number {
  let length = url.length;
  for (const text of rawHeaders) length += text.length;
  const fieldBytes = (FIELD_BYTES * rawHeaders.length) / 2;
  return REQUEST_BYTES + TEXT_COPIES * length + fieldBytes;
}

/** Frees the head of a request that is not served, but may still be read. */
export function stripHead(req: IncomingMessage): void {
  const {headers} = req;
  req.headers = {};
  for (const name of FRAMING_FIELDS) {
    if (headers[name] !== undefined) req.headers[name] = headers[name];
  }
  req.rawHeaders = [];
}
