import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time in milliseconds for which the rest of a response is written before a reset. */
const MAX_WRITE_MS = 2_000;

/** Time in milliseconds in which a caller can take what was written before a reset. */
const RESET_DELAY_MS = 500;

/** Whether only the end of its connection may tell that of a request's response. */
export function mayBeDelimitedByEnd({httpVersion}: IncomingMessage): boolean {
  // Node.js sends chunks to callers of no other version.
  return httpVersion !== '1.1';
}

/** Whether only the end of its connection tells that of a response. */
export function isDelimitedByEnd({
  chunkedEncoding,
  req,
}: ServerResponse): boolean {
  return !chunkedEncoding && mayBeDelimitedByEnd(req);
}

/**
 * Has whatever destroys a connection reset it while it carries part of a response
 * that its orderly end would complete.
 */
export function resetIfIncomplete(socket: Socket, res: ServerResponse): void {
  const restore = (): void => void Reflect.deleteProperty(socket, 'destroy');
  socket.destroy = err => {
    restore();
    const wouldComplete = res.headersSent && isDelimitedByEnd(res);
    return wouldComplete ? socket.resetAndDestroy() : socket.destroy(err);
  };
  res.once('finish', restore);
}

/**
 * Ends a connection behind part of a response, all of which has been handed over
 * to it, so that no caller takes the part for a complete response.
 */
export function endIncomplete(socket: Socket, res: ServerResponse): void {
  if (!isDelimitedByEnd(res)) {
    // Neither the last chunk nor all of the announced length has been sent.
    socket.destroySoon();
    return;
  }
  destroyAfter(socket, MAX_WRITE_MS);
  socket.write('', err => {
    if (!err) destroyAfter(socket, RESET_DELAY_MS);
  });
}

/** Calls a listener once all that was written of a response is on its connection. */
export function whenHandedOver(
  res: ServerResponse,
  listener: () => void,
): void {
  // Node.js hands over what has waited after the event.
  const listenLater = (): void => process.nextTick(listener);
  if (res.socket) listenLater();
  else res.once('socket', listenLater);
}

/** Destroys a connection after a time in milliseconds, if it is not closed by then. */
export function destroyAfter(socket: Socket, ms: number): void {
  const timer = setTimeout(() => socket.destroy(), ms);
  socket.once('close', () => clearTimeout(timer));
}
