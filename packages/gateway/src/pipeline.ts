import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {HeadHolder} from './head_budget.js';
import {stripHead} from './head_budget.js';

/** Requests of one connection that are served at a time. */
export const MAX_SERVED_PER_CONNECTION = 16;

/**
 * Bytes that the heads of one connection's requests may hold while they are served
 * together; a single request may hold more.
 */
export const MAX_SERVED_HEAD_BYTES = 262_144;

/** A request that has been read, with its response. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** When it was read, in monotonic milliseconds. */
  readonly readAtMs: number;
  /** Bytes that its head holds. */
  readonly headBytes: number;
}

/** The requests of one connection. */
export interface Pipeline extends HeadHolder {
  /** Responses to the requests that are served, with the bytes of their heads. */
  readonly served: Map<ServerResponse, number>;
  servedBytes: number;
  /** Bytes of the heads of those that wait. */
  droppableBytes: number;
  /** The response being served after which the connection may end. */
  uncertain: ServerResponse | null;
  waiting: Exchange[];
  /** The latest request, as long as its body is not complete. */
  incomplete: Exchange | null;
  /** Whether it is not read until requests of it have ended. */
  isHeldBack: boolean;
  /** Whether no more requests are read from it. */
  isCut: boolean;
  /** Written after all responses, before it is closed. */
  lastBytes: string;
  /** Requests that were read after that, or waited then. */
  unserved: number;
  /** Why a response that has begun ends the connection; null otherwise. */
  cutBy: Error | null;
}

/** Whether no response can follow those that are open. */
export function isEnding(socket: Socket, {served}: Pipeline): boolean {
  if (socket.writableEnded || socket.destroyed) return true;
  for (const res of served.keys()) {
    const isDecided = res.headersSent || isUpgrade(res.req);
    if (isDecided && !res.shouldKeepAlive) return true;
  }
  return false;
}

/** Whether Node.js leaves out the rest of what it has read behind a request. */
export function isUpgrade({headers}: IncomingMessage): boolean {
  return headers.upgrade !== undefined;
}

/** Closes a connection that owes no response. */
export function closeIfDone(socket: Socket, pipeline: Pipeline): void {
  const {lastBytes} = pipeline;
  if (sizeOf(pipeline) > 0) return;
  if (socket.destroyed || socket.writableEnded) return;
  if (lastBytes) socket.write(lastBytes);
  socket.destroySoon();
}

/** Leaves a request of a connection unserved that is read no further. */
export function leaveUnserved(pipeline: Pipeline, req: IncomingMessage): void {
  pipeline.unserved++;
  stripHead(req);
  process.nextTick(() => pauseUnlessEnded(req.socket));
}

/** Whether a request may be served beside those that are. */
export function mayStart(
  {served, servedBytes, uncertain}: Pipeline,
  headBytes: number,
): boolean {
  if (served.size === 0) return true;
  if (uncertain !== null) return false;
  return (
    served.size < MAX_SERVED_PER_CONNECTION &&
    servedBytes + headBytes <= MAX_SERVED_HEAD_BYTES
  );
}

/** Number of requests that are open on a connection. */
export function sizeOf({served, waiting}: Pipeline): number {
  return served.size + waiting.length;
}

/** Whether a connection has as many requests open as are served at a time. */
export function isFull(pipeline: Pipeline): boolean {
  const {isCut, servedBytes, droppableBytes} = pipeline;
  return (
    isCut ||
    sizeOf(pipeline) >= MAX_SERVED_PER_CONNECTION ||
    servedBytes + droppableBytes >= MAX_SERVED_HEAD_BYTES
  );
}

/** Whether the body of a request that is served, or was, is still read. */
export function isBodyRead({incomplete, isCut, served}: Pipeline): boolean {
  if (!incomplete || incomplete.req.complete) return false;
  return isCut || served.has(incomplete.res);
}

/** Pauses a connection unless the body of a request is still read from it. */
export function pauseIfFull(socket: Socket, pipeline: Pipeline): void {
  if (isBodyRead(pipeline)) return;
  if (isFull(pipeline)) pauseUnlessEnded(socket);
}

/** Pauses a connection that can still be written to. */
export function pauseUnlessEnded(socket: Socket): void {
  if (!socket.writableEnded) socket.pause();
}

/** Resumes a connection after others that have something to be read. */
export function resumeInTurn(socket: Socket): void {
  if (socket.readableLength > 0) setImmediate(() => socket.resume());
  else socket.resume();
}
