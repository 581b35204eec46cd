import http from 'node:http';
import https from 'node:https';
import type {RequestListener, Server, ServerOptions} from 'node:http';
import type {CertificateWatcher} from './certificate_watcher.js';

/** An HTTP or HTTPS server that adopts reloaded certificates. */
export class HttpListener {
  private readonly server: Server;

  constructor(
    handler: RequestListener,
    tls: CertificateWatcher | null,
    options: ServerOptions = {},
  ) {
    if (!tls) {
      this.server = http.createServer(options, handler);
      return;
    }
    const server = https.createServer(
      {...options, ...tls.credentials},
      handler,
    );
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

  /** Stops accepting connections and closes the idle ones. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes the server and all connections, including those in use. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
