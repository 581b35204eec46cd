import type {Readable, Writable} from 'node:stream';
import {Duplex} from 'node:stream';

/**
 * Connection to a target through a peer. It ends where the target's own end was
 * seen; any other end of the tunnel is an error.
 */
export class TunnelConnection extends Duplex {
  private hasEnded = false;

  /**
   * `tellsEnd` says whether the end of the incoming bytes is that of the target;
   * otherwise it may as well be that of the peer.
   */
  constructor(
    private readonly incoming: Readable,
    private readonly outgoing: Writable,
    tellsEnd: boolean,
  ) {
    super({allowHalfOpen: false});
    incoming.on('data', (chunk: Buffer) => {
      if (!this.push(chunk)) incoming.pause();
    });
    incoming.once('end', () => {
      if (!tellsEnd) this.fail(new Error('tunnel closed by the peer'));
      this.hasEnded = true;
      this.push(null);
    });
    incoming.once('close', () => this.fail(new Error('tunnel lost')));
    for (const stream of [incoming, outgoing]) {
      stream.on('error', error => this.fail(error));
    }
    // It may fail before it has a request.
    this.on('error', () => undefined);
  }

  /** Does nothing: HTTP clients expect it, and the tunnel server has a limit. */
  setTimeout(): this {
    return this;
  }

  override _read(): void {
    this.incoming.resume();
  }

  override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.outgoing.write(chunk, encoding, done);
  }

  override _final(done: () => void): void {
    this.outgoing.end();
    done();
  }

  override _destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    this.incoming.destroy();
    this.outgoing.destroy();
    done(error);
  }

  /** Fails, unless the target has ended: what follows its end is no loss. */
  private fail(error: Error): void {
    if (!this.hasEnded) this.destroy(error);
  }
}
