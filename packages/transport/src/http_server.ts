import type {RefusalError} from '@fescuespool/protocol';
import {
  HEADER,
  PROBLEM_MEDIA_TYPE,
  retryAfterSeconds,
  toProblem,
} from '@fescuespool/protocol';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

/** Sends a JSON answer. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(`${JSON.stringify(body)}\n`);
}

/** Sends a refusal; false when the answer had begun and can't be refused. */
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

/** Writes and waits while the reader is slow; false once it has gone. */
export async function writeWithBackpressure(
  res: ServerResponse,
  data: string | Buffer,
): Promise<boolean> {
  if (res.destroyed) return false;
  if (res.write(data)) return true;
  const closed = new AbortController();
  await Promise.race([
    once(res, 'drain', {signal: closed.signal}).catch(() => undefined),
    once(res, 'close', {signal: closed.signal}).catch(() => undefined),
  ]);
  closed.abort();
  return !res.destroyed;
}
