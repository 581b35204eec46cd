import type {LoadReport} from '@fescuespool/coordination';
import {POLL_INTERVAL_MS} from '@fescuespool/coordination';
import {LOAD_REPORT_SCHEMA, UPSTREAM_PATH} from '@fescuespool/protocol';
import type {HttpCall} from '@fescuespool/transport';
import {
  MAX_RESPONSE_BYTES,
  openExchange,
  readBody,
} from '@fescuespool/transport';
import type {DaemonContext} from './types.js';

const OK = 200;

/** Adds the local address that calls to upstreams are bound to. */
export function withLocalAddress(
  context: DaemonContext,
  call: HttpCall,
): HttpCall {
  return {...call, localAddress: context.settings.bindAddress};
}

/** Returns the URL to resume or cancel a stream at its upstream. */
export function streamUrl(baseUrl: string, requestId: string): string {
  const id = encodeURIComponent(requestId);
  return `${baseUrl}${UPSTREAM_PATH.STREAMS}${id}`;
}

/**
 * Fetches the load of an upstream; null if there is no valid response within
 * the poll interval.
 */
export async function pollLoad(
  context: DaemonContext,
  baseUrl: string,
): Promise<LoadReport | null> {
  const opened = await openExchange(
    withLocalAddress(context, {
      url: baseUrl + UPSTREAM_PATH.LOAD,
      method: 'GET',
      responseTimeoutMs: POLL_INTERVAL_MS,
    }),
  );
  if (opened.isErr()) return null;
  try {
    const {res} = opened.value;
    const text = (await readBody(res, MAX_RESPONSE_BYTES)).toString();
    if (res.statusCode !== OK) return null;
    return LOAD_REPORT_SCHEMA.parse(JSON.parse(text));
  } catch {
    return null;
  }
}

/** Cancels a stream once; after a failure, the upstream's own limits end it. */
export async function cancelStream(
  context: DaemonContext,
  baseUrl: string,
  requestId: string,
): Promise<void> {
  const opened = await openExchange(
    withLocalAddress(context, {
      url: streamUrl(baseUrl, requestId),
      method: 'DELETE',
      responseTimeoutMs: POLL_INTERVAL_MS,
    }),
  );
  if (opened.isOk()) opened.value.res.resume();
}
