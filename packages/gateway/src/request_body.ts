import {ByteAccumulator} from '@fescuespool/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BudgetShare} from './caller_budget.js';
import type {ChunkPacer} from './chunk_pacer.js';
import {GATEWAY_REFUSAL} from './constants.js';
import {createOverloadedRefusal, GatewayRefusalError} from './errors.js';
import {hasBodyHeaders} from './open_request.js';

/** Largest rest in bytes of a refused body that is read to keep its connection. */
export const MAX_KEPT_REST_BYTES = 65_536;

/** Bytes of a refused body that are read before its connection is closed. */
export const MAX_DISCARDED_BODY_BYTES = 262_144;

/** Time in milliseconds for which a refused body is read. */
export const MAX_BODY_DISCARD_MS = 1_000;

/**
 * Size in bytes above which a body without an announced length is given room for
 * the largest one at once, as each doubling leaves a copy to be collected.
 */
const LARGE_BODY_BYTES = 131_072;

/** Bytes in excess of a chunked body above which it is copied to its size. */
const MAX_SLACK_BYTES = 4_096;

/** Limits of a body and where its bytes are counted. */
export interface BodyOptions {
  readonly maxBytes: number;
  /** Opens the share of the body; `abort` is called if it is dropped. */
  readonly openShare: (abort: () => void) => BudgetShare;
  readonly pacer: ChunkPacer;
  /** Aborted when the request can't be served any more. */
  readonly signal: AbortSignal;
  /** Refusal after the signal is aborted. */
  readonly refusalForAbort: () => GatewayRefusalError;
}

/** A complete body. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Returns its bytes to the budget. */
  readonly release: () => void;
}

const NO_BODY: ReceivedBody = {
  bytes: Buffer.alloc(0),
  release: () => undefined,
};

/**
 * Reads the body of a request; rejects with a GatewayRefusalError if it exceeds
 * its limit, is dropped for the budget or the signal is aborted, and with an
 * Error if the caller leaves. The rest of a refused body is not read.
 */
export function readRequestBody(
  req: IncomingMessage,
  options: BodyOptions,
): Promise<ReceivedBody> {
  if (!hasBodyHeaders(req)) return Promise.resolve(NO_BODY);
  const announced = announcedBytes(req);
  if (announced !== null && announced > options.maxBytes) {
    return Promise.reject(createTooLargeRefusal());
  }
  return new BodyReader(req, announced, options).read();
}

function announcedBytes({headers}: IncomingMessage): number | null {
  const length = headers['content-length'];
  return length === undefined ? null : Number(length);
}

function createTooLargeRefusal(): GatewayRefusalError {
  return new GatewayRefusalError(GATEWAY_REFUSAL.BODY_TOO_LARGE);
}

/** Listens to events instead of iterating, which would queue small chunks. */
class BodyReader {
  private readonly body: ByteAccumulator;
  private readonly share: BudgetShare;
  private refusal: Error | null = null;
  private hasEnded = false;
  private readonly announced: number;
  private settle: () => void = () => undefined;

  constructor(
    private readonly req: IncomingMessage,
    announced: number | null,
    private readonly options: BodyOptions,
  ) {
    const {maxBytes} = options;
    this.body = new ByteAccumulator(
      size => announced ?? (size > LARGE_BODY_BYTES ? maxBytes : 0),
    );
    this.share = options.openShare(() =>
      this.refuse(createOverloadedRefusal()),
    );
    this.announced = announced ?? 0;
  }

  async read(): Promise<ReceivedBody> {
    await this.receive();
    const {share, body} = this;
    if (this.refusal) {
      share.release();
      throw this.refusal;
    }
    share.complete();
    const slack = body.capacity - body.length;
    const bytes = body.takeAll();
    const exact = slack > MAX_SLACK_BYTES ? Buffer.from(bytes) : bytes;
    share.resize(exact.length);
    return {bytes: exact, release: () => share.release()};
  }

  private async receive(): Promise<void> {
    const {req} = this;
    const {signal, refusalForAbort, pacer} = this.options;
    const pace = pacer.follow(req.socket);
    const handleData = (chunk: Buffer): void => {
      pace(chunk);
      this.append(chunk);
    };
    const handleEnd = (): void => {
      this.hasEnded = true;
      this.settle();
    };
    const handleAbort = (): void => this.refuse(refusalForAbort());
    const handleLoss = (): void => this.refuse(new Error('caller left'));
    await new Promise<void>(resolve => {
      this.settle = resolve;
      signal.addEventListener('abort', handleAbort, {once: true});
      req.on('data', handleData);
      req.once('end', handleEnd);
      // An error may follow when nothing waits for the body any more.
      req.on('error', handleLoss);
      req.once('close', handleLoss);
      // Charged before it comes, so that the excess is refused unread.
      this.share.resize(this.announced, 0);
      if (signal.aborted) handleAbort();
    });
    signal.removeEventListener('abort', handleAbort);
    req.off('data', handleData);
    req.off('close', handleLoss);
  }

  private refuse(err: Error): void {
    if (this.hasEnded) return;
    this.refusal ??= err;
    this.settle();
  }

  private append(chunk: Buffer): void {
    if (this.refusal) return;
    const {body} = this;
    if (body.length + chunk.length > this.options.maxBytes) {
      this.refuse(createTooLargeRefusal());
      return;
    }
    body.append(chunk);
    this.share.resize(Math.max(body.capacity, this.announced), body.length);
  }
}

/**
 * Whether the rest of a refused body is too long to be read for its connection's
 * sake, so that the response has to announce its end.
 */
export function isRestUnwanted(req: IncomingMessage): boolean {
  if (req.complete || !hasBodyHeaders(req)) return false;
  const announced = announcedBytes(req);
  return announced === null || announced > MAX_KEPT_REST_BYTES;
}

/**
 * Discards the rest of a refused body for a bounded time and number of bytes, so
 * that a caller that is still sending can read the response, and calls `end`
 * after it.
 */
export function discardRest(
  req: IncomingMessage,
  pacer: ChunkPacer,
  end: () => void,
): void {
  let size = 0;
  const pace = pacer.follow(req.socket);
  const finish = (): void => {
    clearTimeout(timer);
    req.off('data', handleData);
    req.pause();
    end();
  };
  const handleData = (chunk: Buffer): void => {
    pace(chunk);
    size += chunk.length;
    if (size > MAX_DISCARDED_BODY_BYTES) finish();
  };
  const timer = setTimeout(finish, MAX_BODY_DISCARD_MS);
  req.on('data', handleData);
  req.once('end', finish);
  req.once('close', finish);
  req.on('error', () => undefined);
  req.resume();
}

/**
 * Closes the connection of a refused body that does not end in time, after the
 * responses to the requests before it.
 */
export function limitRest(req: IncomingMessage, res: ServerResponse): void {
  if (req.complete || !hasBodyHeaders(req)) return;
  const close = (): void => {
    if (!req.complete) req.socket.destroySoon();
  };
  const timer = setTimeout(() => {
    if (res.writableFinished) close();
    else res.once('finish', close);
  }, MAX_BODY_DISCARD_MS);
  req.once('end', () => clearTimeout(timer));
  res.once('close', () => {
    if (req.complete || req.socket.destroyed) clearTimeout(timer);
  });
}
