import http from 'node:http';
import type {Socket} from 'node:net';
import {TUNNEL_STATUS} from './constants.js';

/** Result of asking a peer for a tunnel. */
export type TunnelResult =
  | {readonly kind: 'open'; readonly socket: Socket}
  /** The peer can't reach the target either. */
  | {readonly kind: 'unreachable'}
  /** The peer sends nothing to the target at the moment. */
  | {readonly kind: 'declined'}
  /** The peer did not answer in time, or refused. */
  | {readonly kind: 'unavailable'; readonly cause: string};

/**
 * Opens a connection to a target through the tunnel server of a peer; both are
 * given as host and port, the timeout in milliseconds.
 */
export function openTunnel(
  peer: {readonly host: string; readonly port: number},
  target: string,
  timeoutMs: number,
): Promise<TunnelResult> {
  return new Promise(resolve => {
    let req: http.ClientRequest;
    try {
      req = http.request({
        ...peer,
        method: 'CONNECT',
        path: target,
        agent: false,
      });
    } catch (e) {
      // The address of the peer is invalid.
      resolve({kind: 'unavailable', cause: String(e)});
      return;
    }
    const timer = setTimeout(
      () => req.destroy(new Error('tunnel timed out')),
      timeoutMs,
    );
    req.once('connect', (res, stream, head) => {
      clearTimeout(timer);
      const socket = stream as Socket;
      // It may fail before it has a request.
      socket.on('error', () => undefined);
      const {statusCode} = res;
      if (statusCode === TUNNEL_STATUS.OPEN) {
        if (head.length > 0) socket.unshift(head);
        resolve({kind: 'open', socket});
        return;
      }
      socket.destroy();
      resolve(resultOf(statusCode));
    });
    req.once('error', ({message}) => {
      clearTimeout(timer);
      resolve({kind: 'unavailable', cause: message});
    });
    req.end();
  });
}

/** Result of a tunnel that was not opened. */
function resultOf(status: number | undefined): TunnelResult {
  if (status === TUNNEL_STATUS.UNREACHABLE) return {kind: 'unreachable'};
  if (status === TUNNEL_STATUS.DECLINED) return {kind: 'declined'};
  return {kind: 'unavailable', cause: `status ${status}`};
}
