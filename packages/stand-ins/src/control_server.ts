import {readBody} from '@fescuespool/transport';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MAX_BODY_BYTES} from './constants.js';
import type {StandIn} from './types.js';

/** Handles a request whose body has been read. */
export type RequestHandler = (
  body: Buffer,
  req: IncomingMessage,
  res: ServerResponse,
) => void | Promise<void>;

/** What a stand-in serves. */
export interface StandInServerOptions {
  readonly host: string;
  readonly port: number;
  /** Source addresses whose connections are cut. */
  readonly isBlocked: (sourceAddress: string) => boolean;
  /** Answers a request to the control interface, or undefined. */
  readonly handleControl: (path: string, body: Buffer) => unknown;
  readonly handleRequest: RequestHandler;
}

/** Sends a JSON answer. */
export function sendJson(
  res: ServerResponse,
  body: unknown,
  status = 200,
): void {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

/** Source address of a connection without its IPv6 mapping. */
function sourceOf(req: IncomingMessage): string {
  return (req.socket.remoteAddress ?? '').replace('::ffff:', '');
}

/** Starts the HTTP server of a stand-in. */
export async function startStandInServer(
  options: StandInServerOptions,
): Promise<StandIn> {
  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const path = req.url ?? '/';
    if (!path.startsWith('/control/') && options.isBlocked(sourceOf(req))) {
      req.socket.destroy();
      return;
    }
    const body = await readBody(req, MAX_BODY_BYTES);
    if (path.startsWith('/control/')) {
      sendJson(res, options.handleControl(path, body) ?? {});
      return;
    }
    await options.handleRequest(body, req, res);
  };
  const server = http.createServer((req, res) => {
    handle(req, res).catch(() => req.socket.destroy());
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>(resolve =>
    server.listen(options.port, options.host, resolve),
  );
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://${options.host}:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
