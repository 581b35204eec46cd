import http from 'node:http';
import https from 'node:https';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import net from 'node:net';
import type {Socket} from 'node:net';
import type {CertificateWatcher} from './certificate_watcher.js';

/** An HTTP or HTTPS server that adopts reloaded certificates. */
export class HttpListener {
  private readonly server: Server;
  /** Responses of each connection that have not been sent to their end. */
  private readonly openResponses = new Map<Socket, Set<ServerResponse>>();
  private isStopping = false;

  constructor(
    handler: RequestListener,
    tls: CertificateWatcher | null,
    options: ServerOptions = {},
  ) {
    const handle: RequestListener = (req, res) => {
      this.follow(req, res);
      handler(req, res);
    };
    if (!tls) {
      this.server = http.createServer(options, handle);
      return;
    }
    const server = https.createServer({...options, ...tls.credentials}, handle);
    tls.onChange(credentials => server.setSecureContext(credentials));
    this.server = server;
  }

  /** Starts listening; resolves with the port, rejects if it can't be opened. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : port;
  }

  /** Number of responses that have not been sent to their end. */
  get openResponseCount(): number {
    let count = 0;
    for (const responses of this.openResponses.values())
      count += responses.size;
    return count;
  }

  /**
   * Stops accepting connections and closes the idle ones, once no response waits
   * to be sent.
   */
  stopAccepting(): void {
    this.isStopping = true;
    // That of an HTTP server closes connections that Node.js takes for idle.
    net.Server.prototype.close.call(this.server);
    this.closeIdle();
  }

  /** Closes the server and all connections, including those in use. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private follow({socket}: IncomingMessage, res: ServerResponse): void {
    const responses = this.openResponses.get(socket) ?? this.open(socket);
    responses.add(res);
    res.once('close', () => {
      responses.delete(res);
      if (this.isStopping) this.closeIdle();
    });
  }

  private open(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.openResponses.set(socket, responses);
    socket.once('close', () => this.openResponses.delete(socket));
    return responses;
  }

  /** Node.js takes connections for idle whose responses have not been sent. */
  private closeIdle(): void {
    for (const responses of this.openResponses.values()) {
      for (const res of responses) if (res.writableEnded) return;
    }
    this.server.closeIdleConnections();
  }
}
