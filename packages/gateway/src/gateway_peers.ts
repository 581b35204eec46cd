import type {PeerError} from '@fescuespool/coordination';
import type {PeerHandlers, PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import type {MemberDirectory} from './member_directory.js';
import type {GatewayMember} from './types.js';

/** What an adapter needs to share work with the other gateways. */
export class GatewayPeers {
  private readonly added: Record<string, (params: unknown) => unknown> = {};

  constructor(
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {}

  /** Handlers that adapters have added. */
  get handlers(): PeerHandlers {
    return this.added;
  }

  /** Answers a method; to be added before the gateway starts. */
  handle(method: string, handler: (params: unknown) => unknown): void {
    this.added[method] = handler;
  }

  /** The member that holds a key, as seen from here. */
  ownerOf(key: string): GatewayMember {
    return this.members.ownerOf(key);
  }

  /** Whether a member is this one. */
  isSelf(member: GatewayMember): boolean {
    return this.members.isSelf(member);
  }

  /** Calls a method of a member; a timeout in milliseconds ends the wait. */
  call<T>(
    member: GatewayMember,
    method: string,
    params: unknown,
    schema: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<Result<T, PeerError>> {
    return callPeer(this.network, member, method, params, schema, timeoutMs);
  }
}
