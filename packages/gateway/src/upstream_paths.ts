import type {Clock, Logger} from '@fescuespool/common';
import {OnDemandInterval, sleep} from '@fescuespool/common';
import type {ConnectSocket} from '@fescuespool/transport';
import {
  SingleUseAgent,
  TUNNEL_STATUS,
  TunnelServer,
  UpstreamAgent,
} from '@fescuespool/transport';
import type {Agent} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';
import {splitAddress} from './address.js';
import {
  MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
  MAX_LOST_PATH_PROBES,
  MAX_TUNNELS,
  PATH_PROBE_INTERVAL_MS,
  SLOW_CONNECT_MS,
  SOUND_PATH_MS,
  TUNNELLED_CONNECT_TIMEOUT_MS,
  UPSTREAM_CONNECT_TIMEOUT_MS,
  UPSTREAM_IDLE_TIMEOUT_MS,
} from './constants.js';
import {PathError} from './errors.js';
import type {MemberDirectory} from './member_directory.js';
import {NeighbourTunnels} from './neighbour_tunnels.js';
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
  /** Whether nothing may be sent to an address for a neighbour. */
  readonly isDeclined: (address: string) => boolean;
  /** Whether this gateway is shutting down, so that it opens no tunnels. */
  readonly isStopping: () => boolean;
}

/** A connection to an upstream. */
type OpenConnection =
  | {readonly kind: 'direct'; readonly socket: Duplex}
  | {
      readonly kind: 'tunnelled';
      readonly socket: Duplex;
      readonly via: GatewayMember;
    };

/** Result of connecting to an upstream on any path. */
type Connection =
  | OpenConnection
  | {
      readonly kind: 'failed';
      readonly error: PathError;
      /** Whether a neighbour sends nothing to the upstream at the moment. */
      readonly isDeclined: boolean;
    };

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
  private readonly neighbours: NeighbourTunnels;
  /** Neighbours whose tunnels connections go through. */
  private readonly neighboursBySocket = new WeakMap<Duplex, GatewayMember>();
  private readonly probes = new OnDemandInterval(PATH_PROBE_INTERVAL_MS, () => {
    void this.probeLostPaths();
    return this.lostCount > 0;
  });
  private wasCutOff = false;

  constructor(private readonly options: UpstreamPathsOptions) {
    const open = async (args: TcpNetConnectOpts): Promise<Duplex> => {
      const connection = await this.connect(args);
      if (connection.kind === 'failed') throw connection.error;
      const {socket} = connection;
      if (connection.kind === 'tunnelled') {
        this.neighboursBySocket.set(socket, connection.via);
      }
      return socket;
    };
    this.pooledAgent = new UpstreamAgent(
      UPSTREAM_IDLE_TIMEOUT_MS,
      MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
      open,
      // A neighbour that stops waits for the tunnels that are open.
      socket => !this.neighboursBySocket.has(socket),
    );
    this.singleUseAgent = new SingleUseAgent(open);
    const {members, log, random} = options;
    this.neighbours = new NeighbourTunnels(members, log, random);
    this.tunnels = new TunnelServer({
      refusalFor: address => {
        if (!options.addresses().has(address)) return TUNNEL_STATUS.FORBIDDEN;
        if (options.isDeclined(address)) return TUNNEL_STATUS.DECLINED;
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

  /** Neighbour through whose tunnel a connection goes; null if it is direct. */
  neighbourOf(socket: Duplex): GatewayMember | null {
    return this.neighboursBySocket.get(socket) ?? null;
  }

  /**
   * Whether an upstream accepts connections, on any path. A neighbour that sends
   * nothing there at the moment counts as one that could connect.
   */
  async accepts(address: string): Promise<boolean> {
    const connection = await this.connect(splitAddress(address));
    if (connection.kind === 'failed') return connection.isDeclined;
    connection.socket.destroy();
    return true;
  }

  /**
   * Finds out whether this gateway's own path to an upstream is lost, after a
   * request on it has failed. A recent connection to any upstream shows that this
   * gateway is not cut off.
   */
  async isPathLost(address: string): Promise<boolean> {
    if (this.state.isLost(address)) return true;
    const nowMs = this.options.clock.monotonicMs();
    if (this.state.hasConnectedSince(nowMs - SOUND_PATH_MS)) return false;
    const connection = await this.connect(splitAddress(address));
    if (connection.kind === 'failed') return false;
    connection.socket.destroy();
    return connection.kind === 'tunnelled';
  }

  /** Forgets what is known of upstreams that are not registered any more. */
  retain(addresses: ReadonlySet<string>): void {
    this.state.retain(addresses);
  }

  /** Closes all connections and stops probing. */
  close(): void {
    this.probes.close();
    this.pooledAgent.destroy();
    this.singleUseAgent.destroy();
    this.tunnels.close();
  }

  private connect(args: TcpNetConnectOpts): Promise<Connection> {
    const address = `${args.host}:${args.port}`;
    return this.state.isLost(address)
      ? this.connectThroughNeighbour(args, address)
      : this.connectDirectly(args, address);
  }

  /** Asks neighbours as well if the direct connection is slow or fails. */
  private async connectDirectly(
    args: TcpNetConnectOpts,
    address: string,
  ): Promise<Connection> {
    const direct = this.tryDirect(args, UPSTREAM_CONNECT_TIMEOUT_MS);
    const early = await Promise.race([direct, sleep(SLOW_CONNECT_MS)]);
    if (isSocket(early)) return {kind: 'direct', socket: early};
    const openings = [
      direct.then((result): OpenConnection => {
        if (!isSocket(result)) throw result;
        return {kind: 'direct', socket: result};
      }),
      this.neighbours.open(address).then((result): OpenConnection => {
        if (result?.kind !== 'open') throw new Error('no tunnel was opened');
        return {kind: 'tunnelled', socket: result.socket, via: result.via};
      }),
    ];
    const first = await firstOf(openings, ({socket}) => socket.destroy());
    if (first?.kind === 'tunnelled') {
      void direct.then(result => {
        if (!isSocket(result)) this.recordLost(address);
      });
    }
    if (first) return first;
    const {message} = (await direct) as Error;
    const error = new PathError(message, false);
    return {kind: 'failed', error, isDeclined: false};
  }

  private async connectThroughNeighbour(
    args: TcpNetConnectOpts,
    address: string,
  ): Promise<Connection> {
    const tunnel = await this.neighbours.open(address);
    if (tunnel?.kind === 'open') {
      return {kind: 'tunnelled', socket: tunnel.socket, via: tunnel.via};
    }
    const socket = await this.tryDirect(args, UPSTREAM_CONNECT_TIMEOUT_MS);
    if (isSocket(socket)) return {kind: 'direct', socket};
    const isOwnFault = tunnel?.kind !== 'unreachable';
    const error = new PathError(socket.message, isOwnFault);
    return {kind: 'failed', error, isDeclined: tunnel?.kind === 'declined'};
  }

  private tryDirect(
    args: TcpNetConnectOpts,
    timeoutMs: number,
  ): Promise<Socket | Error> {
    return new Promise(resolve => {
      let socket: Socket;
      try {
        socket = this.options.connect(args);
      } catch (e) {
        // The port is out of range.
        resolve(e instanceof Error ? e : new Error(String(e)));
        return;
      }
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

  private recordLost(address: string): void {
    const {clock, log} = this.options;
    if (!this.state.isLost(address)) log.warn('upstream_path_lost', {address});
    this.state.recordLost(address, clock.monotonicMs());
    this.probes.start();
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

/**
 * The first value that a promise brings; null if all fail. Values that come later
 * are closed.
 */
async function firstOf<T>(
  promises: readonly Promise<T>[],
  close: (value: T) => void,
): Promise<T | null> {
  const first = await Promise.any(promises).catch(() => null);
  for (const promise of promises) {
    promise.then(
      value => void (value === first ? undefined : close(value)),
      () => undefined,
    );
  }
  return first;
}

function isSocket(value: Socket | Error | void): value is Socket {
  return value !== undefined && !(value instanceof Error);
}
