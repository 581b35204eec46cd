import type {Server} from 'node:http';

/** Splits `host:port` at the last colon; the port is NaN if not a number. */
export function splitAddress(address: string): {host: string; port: number} {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  return {host: address.slice(0, separator), port};
}

/** Starts listening on `host:port`; rejects if the address can't be bound. */
export function listenOn(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
