import {sleep} from '@fescuespool/common';
import {once} from 'node:events';
import net from 'node:net';
import type {Socket} from 'node:net';

/** Direction of bytes on a link, seen from the listener behind it. */
export const LINK_DIRECTION = {INWARD: 'inward', OUTWARD: 'outward'} as const;

type Direction = (typeof LINK_DIRECTION)[keyof typeof LINK_DIRECTION];

/** What a proxy does to all of its links. */
export interface LinkFault {
  /** Delay of each piece of data in milliseconds. */
  readonly delayMs: number;
  /** Directions in which nothing gets through; links stay open. */
  readonly silent: readonly Direction[];
}

const NO_FAULT: LinkFault = {delayMs: 0, silent: []};

interface Pair {
  readonly source: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
  readonly dropped: AbortController;
}

/** Stands before a listener and disturbs the links to it. */
export class LinkProxy {
  private readonly cut = new Set<string>();
  private readonly pairs = new Set<Pair>();
  private readonly waiting = new Set<() => void>();
  private fault = NO_FAULT;
  private readonly server: net.Server;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = net.createServer({pauseOnConnect: true}, socket =>
      this.accept(socket),
    );
  }

  /** Starts to listen; resolves with the port, which may be chosen by port 0. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(port, host, resolve));
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Drops everything that a source sends, without closing its links. */
  blockSource(source: string): void {
    this.cut.add(source);
  }

  /** Restores a source; its old links are reset. */
  unblockSource(source: string): void {
    this.cut.delete(source);
    for (const pair of [...this.pairs]) {
      if (pair.source === source) this.drop(pair);
    }
    this.wake();
  }

  /** Disturbs the links of all sources from now on. */
  injectFault(fault: LinkFault): void {
    this.fault = fault;
    this.wake();
  }

  /** Ends the disturbance; what was held back goes on its way. */
  clearFault(): void {
    this.injectFault(NO_FAULT);
  }

  /** Resets all links. */
  resetLinks(): void {
    for (const pair of [...this.pairs]) this.drop(pair);
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    this.resetLinks();
  }

  private accept(inbound: Socket): void {
    const outbound = net.connect({
      host: this.targetHost,
      port: this.targetPort,
    });
    const pair = {
      source: (inbound.remoteAddress ?? '').replace('::ffff:', ''),
      inbound,
      outbound,
      dropped: new AbortController(),
    };
    this.pairs.add(pair);
    for (const socket of [inbound, outbound]) {
      // Its reader sees the failure as well.
      socket.on('error', () => undefined);
    }
    void Promise.all([
      this.pump(pair, inbound, outbound, LINK_DIRECTION.INWARD),
      this.pump(pair, outbound, inbound, LINK_DIRECTION.OUTWARD),
    ]).then(() => this.pairs.delete(pair));
  }

  /** Task of one direction of a link. */
  private async pump(
    pair: Pair,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    const {signal} = pair.dropped;
    try {
      for await (const chunk of from) {
        await this.untilOpen(pair, direction);
        if (this.fault.delayMs > 0) await sleep(this.fault.delayMs, signal);
        if (!to.write(chunk as Buffer)) await once(to, 'drain', {signal});
      }
      await this.untilOpen(pair, direction);
      to.end();
    } catch {
      // A link that breaks at one side ends at both, once that gets through.
      await this.untilOpen(pair, direction);
      this.drop(pair);
    }
  }

  private async untilOpen(pair: Pair, direction: Direction): Promise<void> {
    const {signal} = pair.dropped;
    const isSilent = (): boolean =>
      this.cut.has(pair.source) || this.fault.silent.includes(direction);
    while (isSilent() && !signal.aborted) {
      await new Promise<void>(resolve => this.waiting.add(resolve));
    }
  }

  private wake(): void {
    for (const tell of this.waiting) tell();
    this.waiting.clear();
  }

  private drop(pair: Pair): void {
    if (!this.pairs.delete(pair)) return;
    pair.dropped.abort();
    for (const socket of [pair.inbound, pair.outbound])
      socket.resetAndDestroy();
    this.wake();
  }
}
