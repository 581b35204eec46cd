import {MAX_PEER_LINE_BYTES} from '@fescuespool/protocol';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import type {Socket} from 'node:net';
import {MAX_PEER_BACKLOG_BYTES} from './constants.js';
import type {ByteCounts} from './types.js';

/** Handles one method called by a peer; `params` are not validated yet. */
export type PeerHandler = (params: unknown) => unknown;

/** Handlers by method name. */
export type PeerHandlers = Readonly<Record<string, PeerHandler>>;

/**
 * Splits a socket's bytes into lines; throws a RangeError if an incomplete line
 * exceeds MAX_PEER_LINE_BYTES.
 */
export async function* readLines(
  socket: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  let chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of socket) {
    let start = 0;
    let end = chunk.indexOf(10);
    while (end >= 0) {
      chunks.push(chunk.subarray(start, end));
      yield Buffer.concat(chunks).toString();
      chunks = [];
      size = 0;
      start = end + 1;
      end = chunk.indexOf(10, start);
    }
    chunks.push(chunk.subarray(start));
    size += chunk.length - start;
    if (size > MAX_PEER_LINE_BYTES) throw new RangeError('line too long');
  }
}

/** JSON-RPC connection to one peer, with one message per line. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;

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
  async serve(): Promise<void> {
    try {
      for await (const line of readLines(this.countReceived())) {
        void this.handleLine(line);
      }
    } catch {
      // A broken connection ends like a closed one.
    } finally {
      this.close();
    }
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

  private async *countReceived(): AsyncGenerator<Buffer> {
    for await (const chunk of this.socket as AsyncIterable<Buffer>) {
      this.counts.received += chunk.length;
      yield chunk;
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
    this.socket.write(line);
    if (this.socket.writableLength > MAX_PEER_BACKLOG_BYTES) this.close();
  }
}
