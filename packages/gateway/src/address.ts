import type {Server} from 'node:http';

/** Splits `host:port`. */
export function splitAddress(address: string): {host: string; port: number} {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  return {host: address.slice(0, separator), port};
}

/** Lets a server listen on `host:port`; rejects where the port is taken. */
export function listenOn(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
