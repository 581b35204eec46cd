import http from 'node:http';
import type {Duplex, Readable, Writable} from 'node:stream';
import {TUNNEL_STATUS} from './constants.js';
import {TunnelConnection} from './tunnel_connection.js';

/** Result of asking a peer for a tunnel. */
export type TunnelResult =
  | {readonly kind: 'open'; readonly socket: Duplex}
  /** The peer can't reach the target either. */
  | {readonly kind: 'unreachable'}
  /** The peer sends nothing to the target at the moment. */
  | {readonly kind: 'declined'}
  /** The peer did not answer in time, or refused. */
  | {readonly kind: 'unavailable'; readonly cause: string};

/** A peer that opens tunnels. */
export interface TunnelPeer {
  readonly host: string;
  readonly port: number;
  /** Whether its tunnels are chunked in both directions. */
  readonly hasChunkedTunnels: boolean;
}

/**
 * Opens a connection to a target, given as host and port, through the tunnel
 * server of a peer; the timeout is in milliseconds. The connection ends only if
 * the target's own end was seen, and fails if the peer is lost.
 */
export function openTunnel(
  peer: TunnelPeer,
  target: string,
  timeoutMs: number,
): Promise<TunnelResult> {
  return new Promise(resolve => {
    let req: http.ClientRequest;
    try {
      req = createTunnelRequest(peer, target);
    } catch (e) {
      // The address of the peer is invalid.
      resolve({kind: 'unavailable', cause: String(e)});
      return;
    }
    const timer = setTimeout(
      () => req.destroy(new Error('tunnel timed out')),
      timeoutMs,
    );
    const handleAnswer = (
      {statusCode}: http.IncomingMessage,
      readable: Readable,
      writable: Writable,
    ): void => {
      clearTimeout(timer);
      if (statusCode === TUNNEL_STATUS.OPEN) {
        const tellsEnd = peer.hasChunkedTunnels;
        const socket = new TunnelConnection(readable, writable, tellsEnd);
        resolve({kind: 'open', socket});
        return;
      }
      writable.destroy();
      resolve(resultOf(statusCode));
    };
    req.once('response', res => handleAnswer(res, res, req));
    req.once('connect', (res, stream, head) => {
      if (head.length > 0) stream.unshift(head);
      handleAnswer(res, stream, stream);
    });
    // The listener stays, as an error may follow the answer.
    req.on('error', ({message}) => {
      clearTimeout(timer);
      resolve({kind: 'unavailable', cause: message});
    });
    req.flushHeaders();
  });
}

function createTunnelRequest(
  {host, port, hasChunkedTunnels}: TunnelPeer,
  target: string,
): http.ClientRequest {
  const options = {host, port, agent: false};
  return hasChunkedTunnels
    ? http.request({...options, method: 'POST', path: `/${target}`})
    : http.request({...options, method: 'CONNECT', path: target});
}

/** Result of a tunnel that was not opened. */
function resultOf(status: number | undefined): TunnelResult {
  if (status === TUNNEL_STATUS.UNREACHABLE) return {kind: 'unreachable'};
  if (status === TUNNEL_STATUS.DECLINED) return {kind: 'declined'};
  return {kind: 'unavailable', cause: `status ${status}`};
}
