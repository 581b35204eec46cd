import type {HttpExchange} from '@fescuespool/transport';
import {ByteAccumulator, isWholeResponse} from '@fescuespool/transport';
import {
  MAX_BUFFERED_CHUNKS,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_DISCARD_MS,
  MAX_DISCARDED_BYTES,
  MAX_DISCARDED_CHUNKS,
} from './constants.js';
import type {BudgetShare} from './caller_budget.js';

/** A complete response, buffered before any of it is sent to the caller. */
export interface BufferedResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** A buffered response, or why there is none. */
export type BufferResult =
  | {readonly kind: 'complete'; readonly response: BufferedResponse}
  | {readonly kind: 'failed'; readonly cause: string};

/**
 * Reads a response to its end. It fails if it is incomplete, exceeds
 * MAX_BUFFERED_RESPONSE_BYTES or MAX_BUFFERED_CHUNKS, or is given up for the
 * budget.
 */
export async function bufferResponse(
  exchange: HttpExchange,
  share: BudgetShare,
): Promise<BufferResult> {
  const {res} = exchange;
  const body = new ByteAccumulator();
  let chunkCount = 0;
  const fail = (cause: string): BufferResult => {
    share.release();
    return {kind: 'failed', cause};
  };
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) {
      if (body.length + chunk.length > MAX_BUFFERED_RESPONSE_BYTES) {
        exchange.abort();
        return fail(`response exceeds ${MAX_BUFFERED_RESPONSE_BYTES} bytes`);
      }
      if (++chunkCount > MAX_BUFFERED_CHUNKS) {
        exchange.abort();
        return fail(`response exceeds ${MAX_BUFFERED_CHUNKS} chunks`);
      }
      body.append(chunk);
      share.resize(body.capacity);
      if (share.isDropped) return fail('response dropped for the budget');
    }
  } catch {
    return fail(
      share.isDropped
        ? 'response dropped for the budget'
        : 'connection broke during the response',
    );
  }
  if (!isWholeResponse(exchange)) return fail('response incomplete');
  share.complete();
  const {rawHeaders} = res;
  const status = res.statusCode ?? 0;
  return {
    kind: 'complete',
    response: {status, rawHeaders, body: body.takeAll()},
  };
}

/**
 * Reads and discards the rest of a response, so that its connection can be used
 * again; closes it if that takes more than MAX_DISCARDED_BYTES,
 * MAX_DISCARDED_CHUNKS or MAX_DISCARD_MS.
 */
export function discardResponse({res, abort}: HttpExchange): void {
  let size = 0;
  let chunkCount = 0;
  const timer = setTimeout(abort, MAX_DISCARD_MS);
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    const isLong = ++chunkCount > MAX_DISCARDED_CHUNKS;
    if (isLong || size > MAX_DISCARDED_BYTES) abort();
  });
  // The connection may break; nothing waits for it.
  res.on('error', () => undefined);
  res.once('close', () => clearTimeout(timer));
}
