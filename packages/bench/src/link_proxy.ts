import net from 'node:net';
import type {Socket} from 'node:net';

interface Pair {
  readonly source: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
}

/** Stands before a peer listener and cuts links by their source address. */
export class LinkProxy {
  private readonly cut = new Set<string>();
  private readonly pairs = new Set<Pair>();
  private readonly server: net.Server;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = net.createServer({pauseOnConnect: true}, socket =>
      this.accept(socket),
    );
  }

  /** Starts to listen. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, host, resolve));
  }

  /** Drops everything that a source sends, without closing its links. */
  cutFrom(source: string): void {
    this.cut.add(source);
    for (const pair of this.pairs) {
      if (pair.source !== source) continue;
      pair.inbound.unpipe();
      pair.outbound.unpipe();
      pair.inbound.pause();
      pair.outbound.pause();
    }
  }

  /** Restores a source; its old links are reset. */
  heal(source: string): void {
    this.cut.delete(source);
    for (const pair of [...this.pairs]) {
      if (pair.source === source) this.drop(pair);
    }
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    for (const pair of [...this.pairs]) this.drop(pair);
  }

  private accept(inbound: Socket): void {
    const source = (inbound.remoteAddress ?? '').replace('::ffff:', '');
    const outbound = net.connect({
      host: this.targetHost,
      port: this.targetPort,
    });
    const pair = {source, inbound, outbound};
    this.pairs.add(pair);
    const drop = (): void => this.drop(pair);
    for (const socket of [inbound, outbound]) {
      socket.on('error', drop);
      socket.on('close', drop);
    }
    if (this.cut.has(source)) return;
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  }

  private drop(pair: Pair): void {
    this.pairs.delete(pair);
    pair.inbound.destroy();
    pair.outbound.destroy();
  }
}
