import {MAX_PEER_LINE_BYTES} from '@fescuespool/protocol';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import type {Socket} from 'node:net';
import {MAX_PEER_BACKLOG_BYTES} from './constants.js';
import type {ByteCounts} from './types.js';

const NEWLINE = 10;

/** Handles one method called by a peer; `params` are not validated yet. */
export type PeerHandler = (params: unknown) => unknown;

/** Handlers by method name. */
export type PeerHandlers = Readonly<Record<string, PeerHandler>>;

/** Bytes of incomplete lines that all connections from peers may hold. */
export const MAX_PENDING_PEER_BYTES = 33_554_432;

/** Bytes of incomplete lines, over all connections that share it. */
export interface PendingBytes {
  total: number;
}

/** Splits received bytes into lines. */
class LineSplitter {
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly pending: PendingBytes) {}

  /**
   * Appends bytes and returns the lines that they complete; throws a RangeError
   * if an incomplete line exceeds MAX_PEER_LINE_BYTES, or all of them together
   * MAX_PENDING_PEER_BYTES.
   */
  push(chunk: Buffer): string[] {
    const before = this.size;
    const lines: string[] = [];
    let start = 0;
    let end = chunk.indexOf(NEWLINE);
    while (end >= 0) {
      this.chunks.push(chunk.subarray(start, end));
      lines.push(Buffer.concat(this.chunks).toString());
      this.chunks = [];
      this.size = 0;
      start = end + 1;
      end = chunk.indexOf(NEWLINE, start);
    }
    this.chunks.push(chunk.subarray(start));
    this.size += chunk.length - start;
    this.pending.total += this.size - before;
    if (this.size > MAX_PEER_LINE_BYTES) throw new RangeError('line too long');
    if (this.size > 0 && this.pending.total > MAX_PENDING_PEER_BYTES) {
      throw new RangeError('too many incomplete lines');
    }
    return lines;
  }

  /** Forgets the incomplete line. */
  clear(): void {
    this.pending.total -= this.size;
    this.chunks = [];
    this.size = 0;
  }
}

/** JSON-RPC connection to one peer, with one message per line. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly lines: LineSplitter;
  private isHolding = false;

  constructor(
    private readonly socket: Socket,
    handlers: PeerHandlers,
    private readonly counts: ByteCounts,
    pending: PendingBytes = {total: 0},
  ) {
    this.lines = new LineSplitter(pending);
    const server = new JSONRPCServer({errorListener: () => undefined});
    for (const [method, handler] of Object.entries(handlers)) {
      server.addMethod(method, handler);
    }
    const client = new JSONRPCClient(message => this.write(message));
    this.rpc = new JSONRPCServerAndClient(server, client, {
      errorListener: () => undefined,
    });
    socket.setNoDelay(true);
  }

  /** Handles incoming lines until the connection ends; never rejects. */
  serve(): Promise<void> {
    return new Promise(resolve => {
      if (this.socket.destroyed) {
        this.close();
        resolve();
        return;
      }
      // Events cost far less than an iteration for each chunk.
      this.socket.on('data', chunk => this.receive(chunk));
      this.socket.once('end', () => this.close());
      this.socket.once('close', () => {
        this.close();
        resolve();
      });
    });
  }

  /** Calls a method and returns its answer; rejects on an error or a close. */
  async call(method: string, params: unknown): Promise<unknown> {
    return this.rpc.request(method, params);
  }

  /** Sends a notification, which has no answer. */
  notify(method: string, params: unknown): void {
    this.rpc.notify(method, params);
  }

  /** Closes the connection; pending calls are rejected. */
  close(): void {
    this.rpc.rejectAllPendingRequests('connection closed');
    this.socket.destroy();
    this.lines.clear();
  }

  private receive(chunk: Buffer): void {
    if (this.socket.destroyed) return;
    this.counts.received += chunk.length;
    try {
      for (const line of this.lines.push(chunk)) void this.handleLine(line);
    } catch {
      // The peer sends no lines; a broken connection ends like a closed one.
      this.close();
    }
  }

  private async handleLine(line: string): Promise<void> {
    try {
      await this.rpc.receiveAndSend(JSON.parse(line));
    } catch {
      this.close();
    }
  }

  private write(message: unknown): void {
    if (this.socket.destroyed) throw new Error('connection closed');
    const line = `${JSON.stringify(message)}\n`;
    this.counts.sent += line.length;
    this.holdUntilTick();
    this.socket.write(line);
    if (this.socket.writableLength > MAX_PEER_BACKLOG_BYTES) this.close();
  }

  /** Has the messages of one turn of the event loop sent in one write. */
  private holdUntilTick(): void {
    if (this.isHolding) return;
    this.isHolding = true;
    this.socket.cork();
    process.nextTick(() => {
      this.isHolding = false;
      this.socket.uncork();
    });
  }
}
