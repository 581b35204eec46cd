import type {Logger} from '@fescuespool/common';
import type http from 'node:http';
import type {Socket} from 'node:net';

/** Closes connections whose idle timer has run out, and logs the unexpected. */
export function closeIdleConnections(server: http.Server, log: Logger): void {
  server.on('timeout', (socket: Socket) => {
    const afterMs = socket.timeout;
    const limitMs = server.keepAliveTimeout;
    if (afterMs !== limitMs) {
      log.info('idle_connection_closed', {afterMs, limitMs});
    }
    socket.destroy();
  });
}
