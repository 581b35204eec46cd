import type {PeerError} from '@fescuespool/coordination';
import type {PeerHandlers, PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import type {MemberDirectory} from './member_directory.js';
import type {GatewayMember} from './types.js';

/** Lets a platform adapter call the other gateways and handle their calls. */
export class GatewayPeers {
  private readonly addedHandlers: Record<string, (params: unknown) => unknown> =
    {};

  constructor(
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
  ) {}

  /** Handlers added by adapters, keyed by method name. */
  get handlers(): PeerHandlers {
    return this.addedHandlers;
  }

  /**
   * Registers the handler of a method. Call it before the gateway starts; later
   * handlers are ignored.
   */
  registerHandler(method: string, handler: (params: unknown) => unknown): void {
    this.addedHandlers[method] = handler;
  }

  /** Number of members in this member's list, itself included. */
  get memberCount(): number {
    return this.members.allMembers.length;
  }

  /** The owner of a key according to this member's list and suspicions. */
  ownerOf(key: string): GatewayMember {
    return this.members.ownerOf(key);
  }

  /** Whether the given member is this process. */
  isSelf(member: GatewayMember): boolean {
    return this.members.isSelf(member);
  }

  /**
   * Calls a method of a member and validates the answer. The result is a
   * PeerError on failure, timeout or a malformed answer.
   */
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
