import type {Clock, Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {ConnectSocket, TunnelResult} from '@fescuespool/transport';
import {
  openTunnel,
  SingleUseAgent,
  TUNNEL_STATUS,
  TunnelServer,
  UpstreamAgent,
} from '@fescuespool/transport';
import {LRUCache} from 'lru-cache';
import type {Agent} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import {splitAddress} from './address.js';
import {
  MAX_AVOIDED_NEIGHBOURS,
  MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
  MAX_LOST_PATH_PROBES,
  MAX_TUNNELS,
  NEIGHBOUR_AVOIDED_MS,
  PATH_PROBE_INTERVAL_MS,
  TUNNEL_HEDGE_MS,
  TUNNEL_TIMEOUT_MS,
  TUNNELLED_CONNECT_TIMEOUT_MS,
  UPSTREAM_CONNECT_TIMEOUT_MS,
  UPSTREAM_IDLE_TIMEOUT_MS,
} from './constants.js';
import {PathError} from './errors.js';
import type {MemberDirectory} from './member_directory.js';
import {chooseNeighbours} from './neighbour_choice.js';
import {PathState} from './path_state.js';
import type {GatewayMember} from './types.js';

/** Dependencies of `UpstreamPaths`. */
export interface UpstreamPathsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly members: MemberDirectory;
  readonly connect: ConnectSocket;
  readonly random: () => number;
  /** Addresses of the registered upstreams. */
  readonly addresses: () => ReadonlySet<string>;
  /** Whether this gateway is shutting down, so that it opens no tunnels. */
  readonly isStopping: () => boolean;
}

/** How a connection to an upstream was established. */
type Connection =
  | {readonly kind: 'direct' | 'tunnelled'; readonly socket: Socket}
  | {readonly kind: 'failed'; readonly error: PathError};

/**
 * Connects to upstreams: directly, or through the tunnel of a neighbour where
 * this gateway's own path is lost. Only connections go through neighbours; the
 * requests on them, their limits and their responses stay with this gateway.
 */
export class UpstreamPaths {
  /** Forwards the connections of neighbours whose paths are lost. */
  readonly tunnels: TunnelServer;
  private readonly state = new PathState();
  private readonly pooledAgent: Agent;
  private readonly singleUseAgent: Agent;
  /** Neighbours that could not help recently. */
  private readonly avoided: LRUCache<string, true>;
  private readonly timer: NodeJS.Timeout;
  private wasCutOff = false;

  constructor(private readonly options: UpstreamPathsOptions) {
    const open = async (args: TcpNetConnectOpts): Promise<Socket> => {
      const connection = await this.connect(args);
      if (connection.kind === 'failed') throw connection.error;
      return connection.socket;
    };
    this.pooledAgent = new UpstreamAgent(
      UPSTREAM_IDLE_TIMEOUT_MS,
      MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
      open,
    );
    this.singleUseAgent = new SingleUseAgent(open);
    this.avoided = new LRUCache({
      max: MAX_AVOIDED_NEIGHBOURS,
      ttl: NEIGHBOUR_AVOIDED_MS,
    });
    this.tunnels = new TunnelServer({
      refusalFor: address => {
        if (!options.addresses().has(address)) return TUNNEL_STATUS.FORBIDDEN;
        const isFull = this.tunnels.count > MAX_TUNNELS;
        const canHelp = !isFull && !options.isStopping();
        if (canHelp && !this.state.isLost(address)) return null;
        return TUNNEL_STATUS.UNAVAILABLE;
      },
      connectTo: async address => {
        const args = splitAddress(address);
        const socket = await this.tryDirect(args, TUNNELLED_CONNECT_TIMEOUT_MS);
        return socket instanceof Error ? null : socket;
      },
    });
    this.timer = setInterval(
      () => void this.probeLostPaths(),
      PATH_PROBE_INTERVAL_MS,
    );
  }

  /** Number of upstreams to which this gateway's own path is lost. */
  get lostCount(): number {
    return this.state.lostAddresses.length;
  }

  /** Whether connections to an upstream go through a neighbour. */
  usesTunnel(address: string): boolean {
    return this.state.isLost(address);
  }

  /** Agent for a request to an upstream; `mayReuse` permits open connections. */
  agentFor(address: string, mayReuse: boolean): Agent {
    // Connections that are open may hang if the path is lost.
    const isPooled = mayReuse && !this.state.isLost(address);
    return isPooled ? this.pooledAgent : this.singleUseAgent;
  }

  /** Whether an upstream accepts connections, on any path. */
  async accepts(address: string): Promise<boolean> {
    const connection = await this.connect(splitAddress(address));
    if (connection.kind === 'failed') return false;
    connection.socket.destroy();
    return true;
  }

  /**
   * Finds out whether this gateway's own path to an upstream is lost, after a
   * request on it has failed.
   */
  async isPathLost(address: string): Promise<boolean> {
    if (this.state.isLost(address)) return true;
    const direct = this.tryDirect(
      splitAddress(address),
      UPSTREAM_CONNECT_TIMEOUT_MS,
    );
    const first = await Promise.race([direct, sleep(TUNNEL_HEDGE_MS)]);
    const tunnel = isSocket(first) ? null : await this.tryTunnels(address);
    const socket = await direct;
    if (isSocket(socket)) socket.destroy();
    else if (tunnel?.kind === 'open') this.recordLost(address);
    if (tunnel?.kind === 'open') tunnel.socket.destroy();
    return this.state.isLost(address);
  }

  /** Forgets what is known of upstreams that are not registered any more. */
  retain(addresses: ReadonlySet<string>): void {
    this.state.retain(addresses);
  }

  /** Closes all connections and stops probing. */
  close(): void {
    clearInterval(this.timer);
    this.pooledAgent.destroy();
    this.singleUseAgent.destroy();
    this.tunnels.close();
  }

  private async connect(args: TcpNetConnectOpts): Promise<Connection> {
    const address = `${args.host}:${args.port}`;
    if (!this.state.isLost(address)) {
      const socket = await this.tryDirect(args, UPSTREAM_CONNECT_TIMEOUT_MS);
      if (isSocket(socket)) return {kind: 'direct', socket};
      const tunnel = await this.tryTunnels(address);
      if (tunnel?.kind === 'open') {
        this.recordLost(address);
        return {kind: 'tunnelled', socket: tunnel.socket};
      }
      return {kind: 'failed', error: new PathError(socket.message, false)};
    }
    const tunnel = await this.tryTunnels(address);
    if (tunnel?.kind === 'open') {
      return {kind: 'tunnelled', socket: tunnel.socket};
    }
    const socket = await this.tryDirect(args, UPSTREAM_CONNECT_TIMEOUT_MS);
    if (isSocket(socket)) return {kind: 'direct', socket};
    const isOwnFault = tunnel?.kind !== 'unreachable';
    return {kind: 'failed', error: new PathError(socket.message, isOwnFault)};
  }

  private tryDirect(
    args: TcpNetConnectOpts,
    timeoutMs: number,
  ): Promise<Socket | Error> {
    return new Promise(resolve => {
      const socket = this.options.connect(args);
      const fail = (error: Error): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(error);
      };
      const timer = setTimeout(
        () => fail(new Error('connection timed out')),
        timeoutMs,
      );
      // Stays in place, as the socket may fail before it has a request.
      socket.on('error', fail);
      socket.once('connect', () => {
        clearTimeout(timer);
        const {clock} = this.options;
        const address = `${args.host}:${args.port}`;
        this.state.recordDirect(address, clock.monotonicMs());
        this.reportCut();
        resolve(socket);
      });
    });
  }

  /**
   * Asks several neighbours, each a little later than the one before; returns the
   * first tunnel, else the best answer, or null if there is nobody to ask.
   */
  private async tryTunnels(address: string): Promise<TunnelResult | null> {
    const {members, random} = this.options;
    const available = members.otherMembers.filter(member =>
      this.mayHelp(member),
    );
    const {zone} = members.localMember;
    const neighbours = chooseNeighbours(available, zone, random);
    let winner: TunnelResult | null = null;
    let other: TunnelResult | null = null;
    const attempts = neighbours.map(async (neighbour, i) => {
      await sleep(i * TUNNEL_HEDGE_MS);
      if (winner) return;
      const result = await this.askForTunnel(neighbour, address);
      if (result.kind !== 'open') {
        if (other?.kind !== 'unreachable') other = result;
        throw new Error(result.kind);
      }
      if (winner) result.socket.destroy();
      winner ??= result;
    });
    await Promise.any(attempts).catch(() => undefined);
    return winner ?? other;
  }

  private mayHelp(member: GatewayMember): boolean {
    const {members} = this.options;
    return (
      member.tunnelAddress !== null &&
      !member.isLeaving &&
      !members.isSuspected(member.id) &&
      !this.avoided.has(member.id)
    );
  }

  private async askForTunnel(
    {id, tunnelAddress}: GatewayMember,
    address: string,
  ): Promise<TunnelResult> {
    const peer = splitAddress(tunnelAddress ?? '');
    const result = await openTunnel(peer, address, TUNNEL_TIMEOUT_MS);
    if (result.kind === 'unavailable') {
      this.avoided.set(id, true);
      const {cause} = result;
      this.options.log.info('tunnel_not_opened', {via: id, address, cause});
    }
    return result;
  }

  private recordLost(address: string): void {
    const {clock, log} = this.options;
    if (!this.state.isLost(address)) log.warn('upstream_path_lost', {address});
    this.state.recordLost(address, clock.monotonicMs());
    this.reportCut();
  }

  private reportCut(): void {
    const {isCutOff} = this.state;
    if (isCutOff === this.wasCutOff) return;
    this.wasCutOff = isCutOff;
    const lost = this.lostCount;
    this.options.log.warn('upstreams_cut_off', {isCutOff, lost});
  }

  /** Connects directly to see whether lost paths are back. */
  private async probeLostPaths(): Promise<void> {
    const {lostAddresses, isCutOff} = this.state;
    if (lostAddresses.length === 0) return;
    const {addresses, random} = this.options;
    const all = isCutOff ? [...addresses()] : lostAddresses;
    const start = Math.floor(random() * all.length);
    const probed = [...all.slice(start), ...all.slice(0, start)];
    const probes = probed.slice(0, MAX_LOST_PATH_PROBES).map(async address => {
      const wasLost = this.state.isLost(address);
      const socket = await this.tryDirect(
        splitAddress(address),
        UPSTREAM_CONNECT_TIMEOUT_MS,
      );
      if (!isSocket(socket)) return;
      socket.destroy();
      if (wasLost) this.options.log.info('upstream_path_back', {address});
    });
    await Promise.all(probes);
  }
}

function isSocket(value: Socket | Error | void): value is Socket {
  return value !== undefined && !(value instanceof Error);
}
