import type {Member, PeerError} from '@fescuespool/coordination';
import {PeerError as Failure} from '@fescuespool/coordination';
import type {PeerMethod} from '@fescuespool/protocol';
import type {PeerNetwork} from '@fescuespool/transport';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {z} from 'zod';

/** Calls a peer and checks the shape of its answer. */
export async function callPeer<T>(
  network: PeerNetwork,
  member: Member,
  method: PeerMethod,
  params: unknown,
  schema: z.ZodType<T>,
  timeoutMs: number,
): Promise<Result<T, PeerError>> {
  const answer = await network.call(member, method, params, timeoutMs);
  if (answer.isErr()) return err(answer.error);
  const parsed = schema.safeParse(answer.value);
  if (!parsed.success) return err(new Failure(member.id, 'malformed answer'));
  return ok(parsed.data);
}
