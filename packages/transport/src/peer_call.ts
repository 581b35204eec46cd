import {PeerError} from '@fescuespool/coordination';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import type {PeerNetwork} from './peer_network.js';
import type {PeerAddress} from './types.js';

/**
 * Calls a peer and validates its answer; returns a PeerError if the call fails,
 * times out or yields an invalid answer.
 */
export async function callPeer<T>(
  network: PeerNetwork,
  peer: PeerAddress,
  method: string,
  params: unknown,
  schema: z.ZodType<T>,
  timeoutMs: number,
): Promise<Result<T, PeerError>> {
  const answer = await network.call(peer, method, params, timeoutMs);
  if (answer.isErr()) return err(answer.error);
  const parsed = schema.safeParse(answer.value);
  if (!parsed.success) return err(new PeerError(peer.id, 'malformed answer'));
  return ok(parsed.data);
}

/**
 * Wraps a handler so that it receives validated params; the wrapper throws a
 * ZodError on invalid ones.
 */
export function withValidatedParams<T>(
  schema: z.ZodType<T>,
  handler: (params: T) => unknown,
): (params: unknown) => unknown {
  return params => handler(schema.parse(params));
}
