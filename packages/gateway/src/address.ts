import type {UpstreamSpec} from '@fescuespool/scheduling';
import type {Server} from 'node:http';
import {validateHeaderValue} from 'node:http';

/** Splits `host:port` at the last colon; the port is NaN if not a number. */
export function splitAddress(address: string): {host: string; port: number} {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  return {host: address.slice(0, separator), port};
}

/** Whether requests can name an upstream in their URL and their headers. */
export function isAddressable({address, instanceId}: UpstreamSpec): boolean {
  try {
    validateHeaderValue('instance', instanceId);
  } catch {
    return false;
  }
  return URL.canParse(`http://${address}`);
}

/** Starts listening on `host:port`; rejects if the address can't be bound. */
export function listenOn(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
