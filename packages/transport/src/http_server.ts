import type {RefusalError} from '@fescuespool/protocol';
import {
  HEADER,
  PROBLEM_MEDIA_TYPE,
  retryAfterSeconds,
  toProblem,
} from '@fescuespool/protocol';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

/** Sends a JSON response unless one has begun or the client has disconnected. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(`${JSON.stringify(body)}\n`);
}

/**
 * Sends a refusal as a problem document; returns false if the response has
 * begun, because its status can no longer change.
 */
export function sendRefusal(
  res: ServerResponse,
  refusal: RefusalError,
  requestId: string,
): boolean {
  if (res.headersSent) return false;
  if (res.destroyed) return true;
  const problem = toProblem(refusal, requestId);
  const retryAfter = retryAfterSeconds(refusal);
  res.writeHead(problem.status, {
    'content-type': PROBLEM_MEDIA_TYPE,
    [HEADER.REQUEST_ID]: requestId,
    ...(retryAfter === null ? {} : {[HEADER.RETRY_AFTER]: String(retryAfter)}),
  });
  res.end(`${JSON.stringify(problem)}\n`);
  return true;
}

/**
 * Writes data and waits for a slow reader to drain the buffer; returns false if
 * the connection is closed.
 */
export async function writeWithBackpressure(
  res: ServerResponse,
  data: string | Buffer,
): Promise<boolean> {
  if (res.destroyed) return false;
  return res.write(data) || whenDrained(res);
}

/**
 * Waits until a slow reader has drained the buffer; resolves with whether the
 * connection is open.
 */
export async function whenDrained(res: ServerResponse): Promise<boolean> {
  if (res.destroyed) return false;
  const waitController = new AbortController();
  await Promise.race([
    once(res, 'drain', {signal: waitController.signal}).catch(() => undefined),
    once(res, 'close', {signal: waitController.signal}).catch(() => undefined),
  ]);
  waitController.abort();
  return !res.destroyed;
}
