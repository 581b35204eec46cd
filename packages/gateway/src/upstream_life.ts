import type {UpstreamSpec} from '@fescuespool/scheduling';
import {openExchange, readBody} from '@fescuespool/transport';
import type {Socket} from 'node:net';
import {
  ANY_PATH_TIMEOUT_MS,
  LIFE_CHECK_TIMEOUT_MS,
  MAX_LIFE_RESPONSE_BYTES,
} from './constants.js';
import type {UpstreamResponseHead, WireFormat} from './types.js';
import type {UpstreamPaths} from './upstream_paths.js';

const OK = 200;

/** What is known of the life of an upstream that has its registered id. */
export type LifeCheck = 'same' | 'replaced' | 'silent' | 'unreachable';

/**
 * Whether an upstream that says when it started is in its registered life. One
 * that doesn't say counts as the same.
 */
export function compareLives(
  registeredUnixMs: number | null,
  reportedUnixMs: number | null,
): LifeCheck {
  if (registeredUnixMs === null || reportedUnixMs === null) return 'same';
  return registeredUnixMs === reportedUnixMs ? 'same' : 'replaced';
}

/**
 * Asks an upstream when it started. It may have started again under its id, with
 * other software, before its entry has changed.
 */
export async function checkLife(
  upstream: UpstreamSpec,
  {startTimePath, parseStartTime, parseResponse}: WireFormat,
  paths: UpstreamPaths,
  signal: AbortSignal,
  /** Called with the response head if the life is the same. */
  onResponse: (head: UpstreamResponseHead, socket: Socket) => void,
): Promise<LifeCheck> {
  if (startTimePath === null || upstream.startedAtUnixMs === null) {
    return 'same';
  }
  const opened = await openExchange({
    url: `http://${upstream.address}${startTimePath}`,
    method: 'GET',
    agent: paths.agentFor(upstream.address, true),
    connectTimeoutMs: ANY_PATH_TIMEOUT_MS,
    responseTimeoutMs: LIFE_CHECK_TIMEOUT_MS,
    signal,
  });
  if (opened.isErr()) return opened.error.isTimeout ? 'silent' : 'unreachable';
  const {res} = opened.value;
  const {statusCode = 0, headers, socket} = res;
  try {
    const body = await readBody(res, MAX_LIFE_RESPONSE_BYTES);
    const head = parseResponse(statusCode, headers);
    if (head.requestId !== null) {
      // A late response to a request that was sent on the connection before.
      opened.value.abort();
      return 'unreachable';
    }
    // Some kinds of upstreams don't tell.
    const startedAtUnixMs =
      statusCode === OK ? parseStartTime(body.toString()) : null;
    const life = compareLives(upstream.startedAtUnixMs, startedAtUnixMs);
    if (life === 'same') onResponse(head, socket);
    return life;
  } catch {
    opened.value.abort();
    return 'unreachable';
  }
}
