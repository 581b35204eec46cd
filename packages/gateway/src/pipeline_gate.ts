import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {UnrulyReason} from './gateway_metrics.js';
import {HeadBudget, headBytesOf, stripHead} from './head_budget.js';
import {HEADER_FIELDS_TOO_LARGE, lastResponse} from './last_response.js';
import type {Exchange, Pipeline} from './pipeline.js';
import {
  endIncomplete,
  mayBeDelimitedByEnd,
  resetIfIncomplete,
  whenHandedOver,
} from './response_end.js';
import {
  closeIfDone,
  isBodyRead,
  isEnding,
  isFull,
  isUpgrade,
  leaveUnserved,
  mayStart,
  pauseIfFull,
  pauseUnlessEnded,
  resumeInTurn,
  sizeOf,
} from './pipeline.js';

/** Requests of one connection that wait behind those, or have been read. */
export const MAX_WAITING_PER_CONNECTION = 256;

/** Requests of all connections that wait behind others of their connection. */
export const MAX_WAITING_REQUESTS = 2_000;

/** What a gate tells of the connections that it serves. */
export interface PipelineEvents {
  /** Called with the number of requests that are left unserved, and the limit. */
  readonly onCut: (dropped: number, reason: UnrulyReason) => void;
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
  /** Whether its head has room; if not, it is to be refused. */
  hasRoom: boolean,
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
    private readonly heads = new HeadBudget(),
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
      leaveUnserved(pipeline, req);
      return;
    }
    const headBytes = headBytesOf(req);
    if (!this.heads.canHold(headBytes)) {
      this.events.onCut(0, 'head_too_large');
      stripHead(req);
      this.end(socket, lastResponse(HEADER_FIELDS_TOO_LARGE));
      return;
    }
    const hasRoom = this.heads.makeRoom(headBytes);
    // Room may have been made of what waits on this connection.
    if (pipeline.isCut) {
      leaveUnserved(pipeline, req);
      return;
    }
    const exchange = {req, res, readAtMs: performance.now(), headBytes};
    pipeline.incomplete = exchange;
    if (isUpgrade(req)) res.shouldKeepAlive = false;
    if (pipeline.waiting.length === 0 && mayStart(pipeline, headBytes)) {
      if (hasRoom) this.heads.charge(headBytes);
      this.start(socket, pipeline, exchange, hasRoom);
      return;
    }
    // Node.js resumes the socket at the end of each request of a read.
    process.nextTick(() => pauseIfFull(socket, pipeline));
    for (const earlier of pipeline.served.keys()) {
      if (!earlier.headersSent) earlier.shouldKeepAlive = true;
    }
    pipeline.waiting.push(exchange);
    this.waitingCount++;
    this.heads.charge(headBytes);
    this.heads.add(pipeline);
    pipeline.droppableBytes += headBytes;
    const isTooFarAhead =
      pipeline.waiting.length > MAX_WAITING_PER_CONNECTION ||
      this.waitingCount > MAX_WAITING_REQUESTS;
    if (isTooFarAhead) this.cut(pipeline, 'requests_sent_ahead');
    else if (!hasRoom) this.cut(pipeline, 'head_dropped');
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
    const [first] = this.pipelines.get(socket)?.served.keys() ?? [];
    first?.emit('drain');
  }

  /** Whether requests of a connection are being served, or wait. */
  isBusy(socket: Socket): boolean {
    const pipeline = this.pipelines.get(socket);
    return pipeline !== undefined && sizeOf(pipeline) > 0;
  }

  /**
   * Whether no more requests are to be read from a connection; it is resumed when
   * requests of it have ended. One of which too many are read ahead is cut.
   */
  isHeldBack(socket: Socket, countAhead: () => number): boolean {
    const pipeline = this.pipelines.get(socket);
    if (!pipeline || isBodyRead(pipeline)) return false;
    pipeline.isHeldBack = this.mustWait(pipeline);
    if (!pipeline.isHeldBack || pipeline.isCut) return pipeline.isHeldBack;
    const ahead = pipeline.waiting.length + countAhead();
    if (ahead > MAX_WAITING_PER_CONNECTION) {
      this.cut(pipeline, 'requests_sent_ahead', ahead);
    }
    return true;
  }

  /** Whether requests of a connection have to end before more are read. */
  private mustWait(pipeline: Pipeline): boolean {
    const isAhead = sizeOf(pipeline) > 0 && this.heads.isScarce;
    return isAhead || isFull(pipeline);
  }

  private open(socket: Socket): Pipeline {
    const pipeline: Pipeline = {
      served: new Map(),
      servedBytes: 0,
      droppableBytes: 0,
      drop: () => this.cut(pipeline, 'head_dropped'),
      uncertain: null,
      waiting: [],
      incomplete: null,
      isHeldBack: false,
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
    {req, res, readAtMs, headBytes}: Exchange,
    hasRoom: boolean,
  ): void {
    const servedBytes = hasRoom ? headBytes : 0;
    pipeline.served.set(res, servedBytes);
    pipeline.servedBytes += servedBytes;
    const isUnmarked = mayBeDelimitedByEnd(req);
    if (this.mayBeCut(req) || isUnmarked) pipeline.uncertain = res;
    if (isUnmarked) resetIfIncomplete(socket, res);
    // Node.js would take with it what has been handed over and is not sent yet.
    res.destroy = err => this.endBehind(socket, pipeline, res, err);
    // A request that was destroyed has no socket any more.
    res.once('finish', () => this.handleEnd(pipeline, socket, res));
    this.serve(req, res, performance.now() - readAtMs, hasRoom);
  }

  private startWaiting(socket: Socket, pipeline: Pipeline): void {
    for (;;) {
      if (isEnding(socket, pipeline)) this.dropWaiting(pipeline);
      const [next] = pipeline.waiting;
      if (!next || !mayStart(pipeline, next.headBytes)) return;
      pipeline.waiting.shift();
      this.releaseWaiting(pipeline, 1, next.headBytes);
      this.heads.charge(next.headBytes);
      this.start(socket, pipeline, next, true);
    }
  }

  private handleEnd(
    pipeline: Pipeline,
    socket: Socket,
    res: ServerResponse,
  ): void {
    const wasFull = isFull(pipeline);
    this.releaseServed(pipeline, res);
    const {incomplete} = pipeline;
    if (incomplete?.res === res && incomplete.req.complete) {
      pipeline.incomplete = null;
    }
    if (pipeline.uncertain === res) pipeline.uncertain = null;
    this.startWaiting(socket, pipeline);
    if (pipeline.isCut) closeIfDone(socket, pipeline);
    else if ((wasFull || pipeline.isHeldBack) && !this.mustWait(pipeline)) {
      pipeline.isHeldBack = false;
      resumeInTurn(socket);
    }
    pauseIfFull(socket, pipeline);
  }

  private cut(
    pipeline: Pipeline,
    reason: UnrulyReason,
    dropped = pipeline.waiting.length,
  ): void {
    this.events.onCut(dropped, reason);
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
    const {unserved, cutBy} = pipeline;
    const open = [...pipeline.served.keys()];
    if (open.length + unserved > 0) {
      this.events.onClosed(socket, open, unserved, cutBy);
    }
    this.dropWaiting(pipeline);
    pipeline.unserved = 0;
    for (const res of open) {
      this.releaseServed(pipeline, res);
      // Node.js tells only the first one that its connection is closed.
      if (res.socket && socket.destroyed) continue;
      if (res.socket) res.detachSocket(socket);
      res.destroyed = true;
      res.emit('close');
    }
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
    if (served.has(res)) {
      this.releaseServed(pipeline, res);
      res.emit('close');
    } else if (waiting.at(-1)?.res === res) {
      waiting.pop();
      this.releaseWaiting(pipeline, 1, incomplete.headBytes);
    }
    return true;
  }

  private releaseServed(pipeline: Pipeline, res: ServerResponse): void {
    const bytes = pipeline.served.get(res) ?? 0;
    pipeline.served.delete(res);
    pipeline.servedBytes -= bytes;
    this.heads.charge(-bytes);
  }

  private releaseWaiting(
    pipeline: Pipeline,
    count: number,
    bytes: number,
  ): void {
    this.waitingCount -= count;
    this.heads.charge(-bytes);
    pipeline.droppableBytes -= bytes;
    if (pipeline.waiting.length === 0) this.heads.remove(pipeline);
  }

  private forgetWaiting(pipeline: Pipeline): void {
    const {waiting, droppableBytes} = pipeline;
    if (waiting.length === 0) return;
    pipeline.incomplete = null;
    pipeline.waiting = [];
    this.releaseWaiting(pipeline, waiting.length, droppableBytes);
    // Node.js holds them until the connection is closed.
    for (const {req} of waiting) stripHead(req);
  }
}
