import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Whether only the end of its connection tells that of a response. */
export function isDelimitedByEnd({
  chunkedEncoding,
  req,
}: ServerResponse): boolean {
  return !chunkedEncoding && req.httpVersion === '1.0';
}

/**
 * Ends a connection behind part of a response, all of which has been handed over
 * to it, so that no caller takes the part for a complete response.
 */
export function endIncomplete(socket: Socket, res: ServerResponse): void {
  // Neither the last chunk nor all of the announced length has been sent.
  if (isDelimitedByEnd(res)) socket.destroy();
  else socket.destroySoon();
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
