import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

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
}

/** The requests of one connection. */
interface Pipeline {
  readonly served: Set<ServerResponse>;
  waiting: Exchange[];
  /** Whether no more of its requests are served. */
  isCut: boolean;
  /** Requests that were read after that, or waited then. */
  unserved: number;
}

/** What a gate tells of the connections that it serves. */
export interface PipelineEvents {
  /** Called with the number of requests that are left unserved. */
  readonly onCut: (dropped: number) => void;
  /**
   * Called when a connection is closed with the responses that are not written,
   * and the number of requests behind the response that ended it.
   */
  readonly onClosed: (
    socket: Socket,
    open: readonly ServerResponse[],
    unserved: number,
  ) => void;
}

/** Handles one request. */
export type ServeRequest = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * Bounds the requests that callers send ahead on a connection without taking
 * the answers. What is not read stays in the socket, so that the caller has to
 * wait. A connection that is read further than the limits is closed after the
 * responses to the requests that are being served.
 */
export class PipelineGate {
  private readonly pipelines = new Map<Socket, Pipeline>();
  private waitingCount = 0;

  constructor(
    private readonly serve: ServeRequest,
    private readonly events: PipelineEvents,
  ) {}

  /** Number of requests that wait behind others of their connection. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Serves a request, or has it wait for earlier ones of its connection. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const pipeline = this.pipelines.get(socket) ?? this.open(socket);
    if (!pipeline.isCut && isEnding(socket, pipeline)) this.end(pipeline);
    if (pipeline.isCut) {
      pipeline.unserved++;
      process.nextTick(() => socket.pause());
      return;
    }
    if (!isFull(pipeline)) {
      this.start(pipeline, req, res);
      return;
    }
    // Node.js resumes the socket at the end of each request of a read.
    process.nextTick(() => pauseIfFull(socket, pipeline));
    pipeline.waiting.push({req, res});
    this.waitingCount++;
    const isTooFarAhead =
      pipeline.waiting.length > MAX_WAITING_PER_CONNECTION ||
      this.waitingCount > MAX_WAITING_REQUESTS;
    if (isTooFarAhead) this.cut(pipeline);
  }

  private open(socket: Socket): Pipeline {
    const pipeline: Pipeline = {
      served: new Set(),
      waiting: [],
      isCut: false,
      unserved: 0,
    };
    this.pipelines.set(socket, pipeline);
    socket.once('close', () => this.handleLoss(socket, pipeline));
    return pipeline;
  }

  private start(
    pipeline: Pipeline,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    pipeline.served.add(res);
    res.once('finish', () => this.handleEnd(pipeline, req.socket, res));
    this.serve(req, res);
  }

  private handleEnd(
    pipeline: Pipeline,
    socket: Socket,
    res: ServerResponse,
  ): void {
    pipeline.served.delete(res);
    if (isEnding(socket, pipeline)) this.end(pipeline);
    if (pipeline.isCut) {
      if (pipeline.served.size === 0) socket.destroySoon();
      return;
    }
    const next = pipeline.waiting.shift();
    if (next) {
      this.waitingCount--;
      this.start(pipeline, next.req, next.res);
    } else if (pipeline.served.size === MAX_SERVED_PER_CONNECTION - 1) {
      socket.resume();
    }
    pauseIfFull(socket, pipeline);
  }

  private cut(pipeline: Pipeline): void {
    this.events.onCut(pipeline.waiting.length);
    this.forgetWaiting(pipeline);
    this.end(pipeline);
  }

  private end(pipeline: Pipeline): void {
    pipeline.isCut = true;
    pipeline.unserved += pipeline.waiting.length;
    this.forgetWaiting(pipeline);
  }

  private handleLoss(socket: Socket, pipeline: Pipeline): void {
    this.pipelines.delete(socket);
    this.events.onClosed(socket, [...pipeline.served], pipeline.unserved);
    this.end(pipeline);
    for (const res of pipeline.served) {
      // Node.js tells only the first response of a connection that it is lost.
      if (!res.socket) res.emit('close');
    }
    pipeline.served.clear();
  }

  private forgetWaiting(pipeline: Pipeline): void {
    this.waitingCount -= pipeline.waiting.length;
    pipeline.waiting = [];
  }
}

/** Whether no response can follow those that are open. */
function isEnding(socket: Socket, {served}: Pipeline): boolean {
  if (socket.writableEnded || socket.destroyed) return true;
  for (const res of served) {
    if (res.headersSent && !res.shouldKeepAlive) return true;
  }
  return false;
}

function isFull({served, isCut}: Pipeline): boolean {
  return isCut || served.size >= MAX_SERVED_PER_CONNECTION;
}

function pauseIfFull(socket: Socket, pipeline: Pipeline): void {
  if (isFull(pipeline)) socket.pause();
}
