import type http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {HeadBudget, HeadHolder} from './head_budget.js';

/** Heap in bytes that a byte of an incomplete head of short fields holds. */
const HELD_PER_BYTE = 8;

const END_OF_HEAD = '\r\n\r\n';

/** Bytes of the end of a head that an earlier chunk may bring. */
const OVERLAP_BYTES = END_OF_HEAD.length - 1;

const NO_BYTES = Buffer.alloc(0);

/** What decides how far connections are read. */
export interface FeedEvents {
  /** Whether requests of a connection are open, so that it can't be closed. */
  readonly isBusy: (socket: Socket) => boolean;
  /**
   * Whether no more is to be parsed of a connection, of which a number of further
   * heads have been read; it is resumed by whoever says so.
   */
  readonly isHeldBack: (socket: Socket, countAhead: () => number) => boolean;
  /** Called when an incomplete head on a busy connection finds no room. */
  readonly onUnreadable: (socket: Socket) => void;
  /** Called when a connection is closed for its incomplete head. */
  readonly onClosed: () => void;
}

/**
 * Hands what a server's connections receive to its parser, one head at a time, as
 * each costs far more than its bytes. Charges incomplete heads to a budget.
 */
export function feedRequests(
  server: http.Server,
  heads: HeadBudget,
  events: FeedEvents,
): void {
  const feeds = new Map<Socket, RequestFeed>();
  server.on('connection', (socket: Socket) => {
    const feed = new RequestFeed(socket, heads, events);
    feeds.set(socket, feed);
    socket.once('close', () => {
      feeds.delete(socket);
      feed.close();
    });
  });
  server.on('request', (req: IncomingMessage) =>
    feeds.get(req.socket)?.handleRequest(req),
  );
  server.on('connect', (_req: IncomingMessage, stream: Duplex) =>
    feeds.get(stream as Socket)?.close(),
  );
}

/** Feeds the parser of one connection. */
class RequestFeed implements HeadHolder {
  /** Listeners of the parser. */
  private readonly parsers: ReadonlyArray<(chunk: Buffer) => void>;
  /** Bytes of an incomplete head that have come. */
  private partialBytes = 0;
  private heldBytes = 0;
  /** The latest request, until its body is complete. */
  private latest: IncomingMessage | null = null;
  /** Bytes of its announced body that have not come. */
  private bodyLeft = 0;
  /** End of the incomplete head. */
  private overlap: Buffer = NO_BYTES;
  private isClosed = false;
  private readonly handleData = (chunk: Buffer): void => this.feed(chunk);

  constructor(
    private readonly socket: Socket,
    private readonly heads: HeadBudget,
    private readonly events: FeedEvents,
  ) {
    this.parsers = socket.listeners('data') as Array<(chunk: Buffer) => void>;
    socket.removeAllListeners('data');
    socket.on('data', this.handleData);
  }

  get droppableBytes(): number {
    return this.events.isBusy(this.socket) ? 0 : this.heldBytes;
  }

  /** Closes the connection. */
  drop(): void {
    this.events.onClosed();
    this.socket.destroy();
    this.close();
  }

  /** Takes a request whose head is completed by the bytes that are parsed. */
  handleRequest(req: IncomingMessage): void {
    this.latest = req;
    this.bodyLeft = Number(req.headers['content-length'] ?? 0);
  }

  /** Leaves the connection to others. */
  close(): void {
    this.isClosed = true;
    this.socket.off('data', this.handleData);
    this.setPartialBytes(0);
  }

  private feed(chunk: Buffer): void {
    const {socket, events} = this;
    let rest = chunk;
    while (rest.length > 0 && !socket.destroyed) {
      const next = this.endOfNext(rest);
      this.parse(rest.subarray(0, next));
      rest = rest.subarray(next);
      if (rest.length === 0) break;
      const mustStop =
        this.isClosed ||
        socket.isPaused() ||
        events.isHeldBack(socket, () => countHeads(rest));
      if (mustStop) {
        // Bytes that are put back while it flows are handed out at once.
        if (!this.isClosed) socket.pause();
        if (!socket.destroyed) socket.unshift(rest);
        return;
      }
    }
  }

  private parse(bytes: Buffer): void {
    const wasInHead = this.latest === null;
    const bodyLeft = this.bodyLeft;
    for (const parse of this.parsers) parse.call(this.socket, bytes);
    if (this.isClosed) return;
    const {latest} = this;
    if (!latest) {
      this.addToHead(bytes);
      return;
    }
    this.overlap = NO_BYTES;
    this.setPartialBytes(0);
    if (!wasInHead) this.bodyLeft = Math.max(0, bodyLeft - bytes.length);
    if (latest.complete) {
      this.latest = null;
      this.bodyLeft = 0;
    }
  }

  private addToHead(bytes: Buffer): void {
    const joined = Buffer.concat([this.overlap, bytes]);
    // Bytes of no request may have such an end as well.
    const hasEnd = joined.includes(END_OF_HEAD);
    this.overlap = hasEnd ? NO_BYTES : joined.subarray(-OVERLAP_BYTES);
    this.setPartialBytes(hasEnd ? 0 : this.partialBytes + bytes.length);
  }

  /** Where the next head, body or part of a chunked body ends at the latest. */
  private endOfNext(bytes: Buffer): number {
    if (this.bodyLeft > 0) return Math.min(this.bodyLeft, bytes.length);
    const {overlap} = this;
    const searched =
      overlap.length > 0 ? Buffer.concat([overlap, bytes]) : bytes;
    const index = searched.indexOf(END_OF_HEAD);
    if (index < 0) return bytes.length;
    return index + END_OF_HEAD.length - overlap.length;
  }

  private setPartialBytes(bytes: number): void {
    const {heads, events, socket} = this;
    this.partialBytes = bytes;
    const held = HELD_PER_BYTE * bytes;
    if (held === this.heldBytes) return;
    heads.charge(-this.heldBytes);
    heads.remove(this);
    this.heldBytes = 0;
    if (held === 0) return;
    const hasRoom = heads.makeRoom(held);
    this.heldBytes = held;
    heads.charge(held);
    heads.add(this);
    if (hasRoom) return;
    if (events.isBusy(socket)) events.onUnreadable(socket);
    else this.drop();
  }
}

/** Number of heads that end in some bytes, if no body looks like one. */
function countHeads(bytes: Buffer): number {
  let count = 0;
  let index = bytes.indexOf(END_OF_HEAD);
  while (index >= 0) {
    count++;
    index = bytes.indexOf(END_OF_HEAD, index + END_OF_HEAD.length);
  }
  return count;
}
