import {sleep} from '@fescuespool/common';
import {once} from 'node:events';
import net from 'node:net';
import type {Socket} from 'node:net';

/** Direction of data on a link, seen from the listener behind the proxy. */
export const LINK_DIRECTION = {INWARD: 'inward', OUTWARD: 'outward'} as const;

type Direction = (typeof LINK_DIRECTION)[keyof typeof LINK_DIRECTION];

/** Fault that a proxy injects into all of its links. */
export interface LinkFault {
  /** Delay of each chunk of data in milliseconds. */
  readonly delayMs: number;
  /** Directions in which data is held back; links stay open. */
  readonly silent: readonly Direction[];
}

const NO_FAULT: LinkFault = {delayMs: 0, silent: []};

/** A forwarded connection. */
interface Link {
  readonly source: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** Aborted when the link is reset. */
  readonly resetController: AbortController;
}

/** Forwards connections to a listener and injects faults into them. */
export class LinkProxy {
  private readonly blockedAddresses = new Set<string>();
  private readonly links = new Set<Link>();
  private readonly waiters = new Set<() => void>();
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

  /**
   * Starts to listen; rejects if the address is in use. Returns the port; for
   * port 0 the system chooses one.
   */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /**
   * Holds back the data on the links of a source address, in both directions
   * and without closing them.
   */
  blockSource(source: string): void {
    this.blockedAddresses.add(source);
  }

  /** Unblocks a source address; its links are reset and held data is lost. */
  unblockSource(source: string): void {
    this.blockedAddresses.delete(source);
    for (const link of [...this.links]) {
      if (link.source === source) this.reset(link);
    }
    this.notifyWaiters();
  }

  /** Injects a fault into the present and future links of all sources. */
  injectFault(fault: LinkFault): void {
    this.fault = fault;
    this.notifyWaiters();
  }

  /** Ends the injected fault; data that was held back is delivered. */
  clearFault(): void {
    this.injectFault(NO_FAULT);
  }

  /** Resets all links. */
  resetLinks(): void {
    for (const link of [...this.links]) this.reset(link);
  }

  /** Stops listening and resets all links. */
  close(): void {
    this.server.close();
    this.resetLinks();
  }

  private accept(inbound: Socket): void {
    const outbound = net.connect({
      host: this.targetHost,
      port: this.targetPort,
    });
    const link = {
      source: (inbound.remoteAddress ?? '').replace('::ffff:', ''),
      inbound,
      outbound,
      resetController: new AbortController(),
    };
    this.links.add(link);
    for (const socket of [inbound, outbound]) {
      // forward() handles the failure, which its reads report as well.
      socket.on('error', () => undefined);
    }
    void Promise.all([
      this.forward(link, inbound, outbound, LINK_DIRECTION.INWARD),
      this.forward(link, outbound, inbound, LINK_DIRECTION.OUTWARD),
    ]).then(() => this.links.delete(link));
  }

  /** Forwards one direction of a link until it ends or fails. */
  private async forward(
    link: Link,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    const {signal} = link.resetController;
    try {
      for await (const chunk of from) {
        await this.waitUntilUnblocked(link, direction);
        if (this.fault.delayMs > 0) await sleep(this.fault.delayMs, signal);
        if (!to.write(chunk as Buffer)) await once(to, 'drain', {signal});
      }
      await this.waitUntilUnblocked(link, direction);
      to.end();
    } catch {
      // A failure on one side resets both, once the direction is not blocked.
      await this.waitUntilUnblocked(link, direction);
      this.reset(link);
    }
  }

  private async waitUntilUnblocked(
    link: Link,
    direction: Direction,
  ): Promise<void> {
    const {signal} = link.resetController;
    const isBlocked = (): boolean =>
      this.blockedAddresses.has(link.source) ||
      this.fault.silent.includes(direction);
    while (isBlocked() && !signal.aborted) {
      await new Promise<void>(resolve => this.waiters.add(resolve));
    }
  }

  private notifyWaiters(): void {
    for (const resolve of this.waiters) resolve();
    this.waiters.clear();
  }

  private reset(link: Link): void {
    if (!this.links.delete(link)) return;
    link.resetController.abort();
    for (const socket of [link.inbound, link.outbound])
      socket.resetAndDestroy();
    this.notifyWaiters();
  }
}
