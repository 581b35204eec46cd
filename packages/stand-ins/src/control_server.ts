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

/** Address, fault state and handlers of a stand-in's server. */
export interface StandInServerOptions {
  readonly host: string;
  readonly port: number;
  /** Whether connections from an address are closed; `/control/` is exempt. */
  readonly isBlocked: (sourceAddress: string) => boolean;
  /** Handles a request to the control interface; returns the JSON response. */
  readonly handleControl: (path: string, body: Buffer) => unknown;
  /** Handles all other requests. */
  readonly handleRequest: RequestHandler;
}

/** Sends a JSON response, unless the connection is closed. */
export function sendJson(
  res: ServerResponse,
  body: unknown,
  status = 200,
): void {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

/** Source address of a connection, without the IPv6 prefix of an IPv4 one. */
function sourceAddressOf(req: IncomingMessage): string {
  return (req.socket.remoteAddress ?? '').replace('::ffff:', '');
}

/** Starts the HTTP server of a stand-in; resolves when it listens. */
export async function startStandInServer(
  options: StandInServerOptions,
): Promise<StandIn> {
  const serve = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const path = req.url ?? '/';
    if (
      !path.startsWith('/control/') &&
      options.isBlocked(sourceAddressOf(req))
    ) {
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
    serve(req, res).catch(() => req.socket.destroy());
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
