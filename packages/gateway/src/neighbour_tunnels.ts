import type {Logger} from '@fescuespool/common';
import {sleep} from '@fescuespool/common';
import type {TunnelResult} from '@fescuespool/transport';
import {openTunnel} from '@fescuespool/transport';
import {LRUCache} from 'lru-cache';
import {splitAddress} from './address.js';
import {
  ENOUGH_UNREACHABLE,
  MAX_AVOIDED_NEIGHBOURS,
  NEIGHBOUR_AVOIDED_MS,
  TUNNEL_HEDGE_MS,
  TUNNEL_TIMEOUT_MS,
} from './constants.js';
import type {MemberDirectory} from './member_directory.js';
import {chooseNeighbours} from './neighbour_choice.js';
import type {GatewayMember} from './types.js';

/** Answer of a neighbour that was asked for a tunnel. */
export type NeighbourAnswer = TunnelResult & {readonly via: GatewayMember};

/** Asks neighbours for tunnels to upstreams that this gateway can't reach. */
export class NeighbourTunnels {
  /** Neighbours that could not help recently, which are asked last. */
  private readonly avoided = new LRUCache<string, true>({
    max: MAX_AVOIDED_NEIGHBOURS,
    ttl: NEIGHBOUR_AVOIDED_MS,
  });

  constructor(
    private readonly members: MemberDirectory,
    private readonly log: Logger,
    private readonly random: () => number,
  ) {}

  /**
   * Asks several neighbours, each a little later than the one before; returns the
   * first tunnel, else the best answer, or null if there is nobody to ask.
   */
  async open(address: string): Promise<NeighbourAnswer | null> {
    const attempts: Promise<NeighbourAnswer>[] = [];
    let open: NeighbourAnswer | null = null;
    let unreachable = 0;
    for (const neighbour of this.candidates()) {
      const attempt = this.ask(neighbour, address);
      attempts.push(attempt);
      const result = await Promise.race([attempt, sleep(TUNNEL_HEDGE_MS)]);
      if (result?.kind === 'open') open = result;
      if (result?.kind === 'unreachable') unreachable++;
      if (open || unreachable === ENOUGH_UNREACHABLE) break;
    }
    const best = open ?? (await bestOf(attempts));
    for (const attempt of attempts) {
      void attempt.then(result => {
        if (result.kind === 'open' && result !== best) result.socket.destroy();
      });
    }
    return best;
  }

  private candidates(): GatewayMember[] {
    const {members, random} = this;
    const all = members.otherMembers.filter(member => this.mayHelp(member));
    const available = all.filter(({id}) => !this.avoided.has(id));
    // Those that did not help a moment ago are better than none.
    return chooseNeighbours(
      available.length > 0 ? available : all,
      members.localMember.zone,
      random,
    );
  }

  private mayHelp({id, tunnelAddress, isLeaving}: GatewayMember): boolean {
    return (
      tunnelAddress !== null && !isLeaving && !this.members.isSuspected(id)
    );
  }

  private async ask(
    neighbour: GatewayMember,
    address: string,
  ): Promise<NeighbourAnswer> {
    const {id, tunnelAddress, hasChunkedTunnels = false} = neighbour;
    const peer = {...splitAddress(tunnelAddress ?? ''), hasChunkedTunnels};
    const result = await openTunnel(peer, address, TUNNEL_TIMEOUT_MS);
    if (result.kind === 'unavailable') {
      this.avoided.set(id, true);
      const {cause} = result;
      this.log.info('tunnel_not_opened', {via: id, address, cause});
    }
    return {...result, via: neighbour};
  }
}

/**
 * The first tunnel that is opened, else whether the target can't be reached; null
 * without any attempt.
 */
function bestOf(
  attempts: readonly Promise<NeighbourAnswer>[],
): Promise<NeighbourAnswer | null> {
  return new Promise(resolve => {
    for (const attempt of attempts) {
      void attempt.then(result => {
        if (result.kind === 'open') resolve(result);
      });
    }
    void Promise.all(attempts).then(results =>
      resolve(
        results.find(({kind}) => kind === 'unreachable') ?? results[0] ?? null,
      ),
    );
  });
}
