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

/** Splits received bytes into lines. */
class LineSplitter {
  private chunks: Buffer[] = [];
  private size = 0;

  /**
   * Appends bytes and returns the lines that they complete; throws a RangeError
   * if an incomplete line exceeds MAX_PEER_LINE_BYTES.
   */
  push(chunk: Buffer): string[] {
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
    if (this.size > MAX_PEER_LINE_BYTES) throw new RangeError('line too long');
    return lines;
  }
}

/** JSON-RPC connection to one peer, with one message per line. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly lines = new LineSplitter();
  private isHolding = false;

  constructor(
    private readonly socket: Socket,
    handlers: PeerHandlers,
    private readonly counts: ByteCounts,
  ) {
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
  }

  private receive(chunk: Buffer): void {
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
