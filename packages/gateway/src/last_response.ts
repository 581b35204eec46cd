import {STATUS_CODES} from 'node:http';

/** Status of a request whose head is too large. */
export const HEADER_FIELDS_TOO_LARGE = 431;

/** Returns the bytes of a response without a body that closes its connection. */
export function lastResponse(
  status: number,
  fields: readonly string[] = [],
): string {
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  return [line, ...fields, 'Connection: close', '', ''].join('\r\n');
}
