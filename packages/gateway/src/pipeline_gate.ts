import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  endIncomplete,
  mayBeDelimitedByEnd,
  resetIfIncomplete,
  whenHandedOver,
} from './response_end.js';

/** Requests of one connection that are served at a time. */
export const MAX_SERVED_PER_CONNECTION = 16;

/**
 * Requests of one connection that wait behind those; one read of its socket may
 * hold this many and more.
 */
export const MAX_WAITING_PER_CONNECTION = 256;

/** Requests of all connections that wait behind others of their connection. */
export const MAX_WAITING_REQUESTS = 2_000;

/** A request that has been read, with its response. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** When it was read, in monotonic milliseconds. */
  readonly readAtMs: number;
}

/** The requests of one connection. */
interface Pipeline {
  readonly served: Set<ServerResponse>;
  /** The response being served after which the connection may end. */
  uncertain: ServerResponse | null;
  waiting: Exchange[];
  /** The latest request, as long as its body is not complete. */
  incomplete: Exchange | null;
  /** Whether no more requests are read from it. */
  isCut: boolean;
  /** Written after all responses, before it is closed. */
  lastBytes: string;
  /** Requests that were read after that, or waited then. */
  unserved: number;
  /** Why a response that has begun ends the connection; null otherwise. */
  cutBy: Error | null;
}

/** What a gate tells of the connections that it serves. */
export interface PipelineEvents {
  /** Called with the number of requests that are left unserved. */
  readonly onCut: (dropped: number) => void;
  /**
   * Called when a connection is closed, or can carry no more responses, with those
   * that are not written, the number of requests behind the response that ended
   * it, and the error that cut a response; null if none was cut.
   */
  readonly onClosed: (
    socket: Socket,
    open: readonly ServerResponse[],
    unserved: number,
    cutBy: Error | null,
  ) => void;
}

/** Handles one request, which has waited for others of its connection. */
export type ServeRequest = (
  req: IncomingMessage,
  res: ServerResponse,
  waitedMs: number,
) => void;

/**
 * Bounds the requests that callers send ahead on a connection without taking
 * the answers. What is not read stays in the socket, so that the caller has to
 * wait. A connection that is read further than the limits is closed after the
 * responses to the requests that are being served. Requests whose responses could
 * be lost with the connection are not served: those behind a response that closes
 * it, and, until its end, those behind one that may end the connection.
 */
export class PipelineGate {
  private readonly pipelines = new Map<Socket, Pipeline>();
  private waitingCount = 0;

  constructor(
    private readonly serve: ServeRequest,
    private readonly events: PipelineEvents,
    /** Whether the response to a request may be cut off after it has begun. */
    private readonly mayBeCut: (req: IncomingMessage) => boolean = () => false,
  ) {}

  /** Number of requests that wait behind others of their connection. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Serves a request, or has it wait for earlier ones of its connection. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const pipeline = this.pipelines.get(socket) ?? this.open(socket);
    if (isEnding(socket, pipeline)) this.dropWaiting(pipeline);
    if (pipeline.isCut) {
      pipeline.unserved++;
      process.nextTick(() => pauseUnlessEnded(socket));
      return;
    }
    const exchange = {req, res, readAtMs: performance.now()};
    pipeline.incomplete = exchange;
    if (isUpgrade(req)) res.shouldKeepAlive = false;
    if (mayStart(pipeline)) {
      this.start(socket, pipeline, exchange);
      return;
    }
    // Node.js resumes the socket at the end of each request of a read.
    process.nextTick(() => pauseIfFull(socket, pipeline));
    for (const earlier of pipeline.served) {
      if (!earlier.headersSent) earlier.shouldKeepAlive = true;
    }
    pipeline.waiting.push(exchange);
    this.waitingCount++;
    const isTooFarAhead =
      pipeline.waiting.length > MAX_WAITING_PER_CONNECTION ||
      this.waitingCount > MAX_WAITING_REQUESTS;
    if (isTooFarAhead) this.cut(pipeline);
  }

  /**
   * Ends a connection of which no more can be read: answers what was read before,
   * and then writes a response to what can't be served.
   */
  end(socket: Socket, response: string): void {
    const pipeline = this.pipelines.get(socket) ?? this.open(socket);
    process.nextTick(() => pauseUnlessEnded(socket));
    if (pipeline.isCut) return;
    pipeline.isCut = true;
    if (this.giveUpIncomplete(pipeline)) pipeline.lastBytes = response;
    closeIfDone(socket, pipeline);
  }

  /** Tells the first open response of a connection that more can be written. */
  resumeWriting(socket: Socket): void {
    const [first] = this.pipelines.get(socket)?.served ?? [];
    first?.emit('drain');
  }

  private open(socket: Socket): Pipeline {
    const pipeline: Pipeline = {
      served: new Set(),
      uncertain: null,
      waiting: [],
      incomplete: null,
      isCut: false,
      lastBytes: '',
      unserved: 0,
      cutBy: null,
    };
    this.pipelines.set(socket, pipeline);
    socket.once('finish', () => this.handleLoss(socket, pipeline));
    socket.once('close', () => {
      this.pipelines.delete(socket);
      this.handleLoss(socket, pipeline);
    });
    return pipeline;
  }

  private start(
    socket: Socket,
    pipeline: Pipeline,
    {req, res, readAtMs}: Exchange,
  ): void {
    pipeline.served.add(res);
    const isUnmarked = mayBeDelimitedByEnd(req);
    if (this.mayBeCut(req) || isUnmarked) pipeline.uncertain = res;
    if (isUnmarked) resetIfIncomplete(socket, res);
    // Node.js would take with it what has been handed over and is not sent yet.
    res.destroy = err => this.endBehind(socket, pipeline, res, err);
    // A request that was destroyed has no socket any more.
    res.once('finish', () => this.handleEnd(pipeline, socket, res));
    this.serve(req, res, performance.now() - readAtMs);
  }

  private startWaiting(socket: Socket, pipeline: Pipeline): void {
    for (;;) {
      if (isEnding(socket, pipeline)) this.dropWaiting(pipeline);
      if (!mayStart(pipeline)) return;
      const next = pipeline.waiting.shift();
      if (!next) return;
      this.waitingCount--;
      this.start(socket, pipeline, next);
    }
  }

  private handleEnd(
    pipeline: Pipeline,
    socket: Socket,
    res: ServerResponse,
  ): void {
    pipeline.served.delete(res);
    const {incomplete} = pipeline;
    if (incomplete?.res === res && incomplete.req.complete) {
      pipeline.incomplete = null;
    }
    if (pipeline.uncertain === res) pipeline.uncertain = null;
    this.startWaiting(socket, pipeline);
    if (pipeline.isCut) closeIfDone(socket, pipeline);
    else if (sizeOf(pipeline) === MAX_SERVED_PER_CONNECTION - 1) {
      socket.resume();
    }
    pauseIfFull(socket, pipeline);
  }

  private cut(pipeline: Pipeline): void {
    this.events.onCut(pipeline.waiting.length);
    this.forgetWaiting(pipeline);
    pipeline.isCut = true;
  }

  private dropWaiting(pipeline: Pipeline): void {
    pipeline.isCut = true;
    pipeline.unserved += pipeline.waiting.length;
    this.forgetWaiting(pipeline);
  }

  /** Ends a connection behind the part that was handed over of a response. */
  private endBehind(
    socket: Socket,
    pipeline: Pipeline,
    res: ServerResponse,
    err: Error | undefined,
  ): ServerResponse {
    if (res.destroyed) return res;
    res.destroyed = true;
    // Its owner may end it later, which would complete it.
    res.end = () => res;
    this.dropWaiting(pipeline);
    whenHandedOver(res, () => {
      if (socket.destroyed) return;
      pipeline.cutBy = err ?? null;
      endIncomplete(socket, res);
      if (socket.writableEnded) this.handleLoss(socket, pipeline);
    });
    return res;
  }

  private handleLoss(socket: Socket, pipeline: Pipeline): void {
    const {served, unserved, cutBy} = pipeline;
    if (served.size + unserved > 0) {
      this.events.onClosed(socket, [...served], unserved, cutBy);
    }
    this.dropWaiting(pipeline);
    pipeline.unserved = 0;
    for (const res of served) {
      // Node.js tells only the first one that its connection is closed.
      if (res.socket && socket.destroyed) continue;
      if (res.socket) res.detachSocket(socket);
      res.destroyed = true;
      res.emit('close');
    }
    served.clear();
  }

  /**
   * Gives up the latest request if its body can't be complete any more; returns
   * false if it has been answered all the same.
   */
  private giveUpIncomplete(pipeline: Pipeline): boolean {
    const {incomplete, waiting, served} = pipeline;
    if (!incomplete || incomplete.req.complete) return true;
    const {res} = incomplete;
    if (res.headersSent) return false;
    if (served.delete(res)) {
      res.emit('close');
    } else if (waiting.at(-1)?.res === res) {
      waiting.pop();
      this.waitingCount--;
    }
    return true;
  }

  private forgetWaiting(pipeline: Pipeline): void {
    if (pipeline.waiting.length > 0) pipeline.incomplete = null;
    this.waitingCount -= pipeline.waiting.length;
    pipeline.waiting = [];
  }
}

/** Whether no response can follow those that are open. */
function isEnding(socket: Socket, {served}: Pipeline): boolean {
  if (socket.writableEnded || socket.destroyed) return true;
  for (const res of served) {
    const isDecided = res.headersSent || isUpgrade(res.req);
    if (isDecided && !res.shouldKeepAlive) return true;
  }
  return false;
}

/** Whether Node.js leaves out the rest of what it has read behind a request. */
function isUpgrade({headers}: IncomingMessage): boolean {
  return headers.upgrade !== undefined;
}

function closeIfDone(socket: Socket, pipeline: Pipeline): void {
  const {lastBytes} = pipeline;
  if (sizeOf(pipeline) > 0) return;
  if (socket.destroyed || socket.writableEnded) return;
  if (lastBytes) socket.write(lastBytes);
  socket.destroySoon();
}

/** Whether another request may be served beside those that are. */
function mayStart({served, uncertain}: Pipeline): boolean {
  return served.size < MAX_SERVED_PER_CONNECTION && uncertain === null;
}

function sizeOf({served, waiting}: Pipeline): number {
  return served.size + waiting.length;
}

function isFull(pipeline: Pipeline): boolean {
  return pipeline.isCut || sizeOf(pipeline) >= MAX_SERVED_PER_CONNECTION;
}

/** Pauses a connection unless the body of a request is still read from it. */
function pauseIfFull(socket: Socket, pipeline: Pipeline): void {
  const {incomplete} = pipeline;
  const isBodyRead = incomplete !== null && !incomplete.req.complete;
  if (pipeline.isCut && isBodyRead) return;
  if (isFull(pipeline)) pauseUnlessEnded(socket);
}

function pauseUnlessEnded(socket: Socket): void {
  if (!socket.writableEnded) socket.pause();
}
