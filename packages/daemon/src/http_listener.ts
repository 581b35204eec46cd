import http from 'node:http';
import https from 'node:https';
import type {RequestListener, Server, ServerOptions} from 'node:http';
import type {CertificateWatcher} from './tls_keeper.js';

/** An HTTP or HTTPS server whose certificate can be replaced. */
export class HttpListener {
  private readonly server: Server;

  constructor(
    handler: RequestListener,
    tls: CertificateWatcher | null,
    limits: ServerOptions = {},
  ) {
    if (!tls) {
      this.server = http.createServer(limits, handler);
      return;
    }
    const server = https.createServer({...limits, ...tls.credentials}, handler);
    tls.onChange(material => server.setSecureContext(material));
    this.server = server;
  }

  /** Starts to listen; resolves with the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : port;
  }

  /** Stops to accept connections and closes the idle ones. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Cuts what is left. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
