import {once} from 'node:events';
import http from 'node:http';
import type {ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {limitConnections} from './connection_limit.js';
import {LingeringConnections} from './lingering_connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const UNFINISHED =
  'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nunfinish';

/** Reads only the beginning of a body, which destroys the request. */
async function giveUp(req: http.IncomingMessage): Promise<void> {
  for await (const chunk of req) if (chunk) return;
}

describe('limitConnections', () => {
  const MAX_CONNECTIONS = 2;
  let server: http.Server;
  let open: ServerResponse[];
  let clients: net.Socket[];

  beforeEach(async () => {
    open = [];
    clients = [];
    server = http.createServer((req, res) => {
      if (req.method === 'PUT') void giveUp(req);
      else req.resume();
      open.push(res);
    });
    limitConnections(server, MAX_CONNECTIONS, true, () => undefined);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 400 && !condition(); i++) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(condition()).toBe(true);
  };

  const connect = async (bytes: string, requests: number): Promise<void> => {
    const {port} = server.address() as AddressInfo;
    const client = net.connect(port, '127.0.0.1');
    client.on('error', () => undefined);
    client.resume();
    clients.push(client);
    const before = open.length;
    client.write(bytes);
    await until(() => client.closed || open.length === before + requests);
  };

  const closed = (): boolean[] => clients.map(client => client.closed);

  it('keeps a connection whose unfinished body follows an open request', async () => {
    await connect(REQUEST + UNFINISHED, 2);
    await connect(UNFINISHED, 1);
    await connect(REQUEST, 1);
    await until(() => closed().includes(true));
    expect(closed()).toEqual([false, true, false]);
  });

  it('closes the new connection if each has an open request', async () => {
    await connect(REQUEST + UNFINISHED, 2);
    await connect(REQUEST + UNFINISHED, 2);
    await connect(REQUEST, 1);
    await until(() => closed().includes(true));
    expect(closed()).toEqual([false, false, true]);
  });

  it('takes a connection for idle after the response to a destroyed request', async () => {
    await connect(REQUEST, 1);
    await connect(UNFINISHED.replace('POST', 'PUT'), 1);
    const [first, second] = open;
    await until(() => second!.req.destroyed);
    for (const res of [first!, second!]) {
      res.end();
      await once(res, 'finish');
    }
    await connect(REQUEST, 1);
    await until(() => closed().includes(true));
    expect(closed()).toEqual([true, false, false]);
  });

  it('closes one whose unfinished body is left after its responses', async () => {
    await connect(REQUEST + UNFINISHED, 2);
    await connect(REQUEST, 1);
    const [first] = open;
    first!.end();
    await once(first!, 'finish');
    await connect(REQUEST, 1);
    await until(() => closed().includes(true));
    expect(closed()).toEqual([true, false, false]);
  });

  it('lets a bounded number beyond the limit receive their last responses', async () => {
    const LIMIT = 16;
    const MAX_OPEN = LIMIT + LIMIT / 8;
    const counts: number[] = [];
    const answering = http.createServer((_req, res) => res.end('hello'));
    const lingering = new LingeringConnections(answering);
    const countOpen = (): Promise<void> =>
      new Promise(resolve =>
        answering.getConnections((_err, count) => {
          counts.push(count);
          resolve();
        }),
      );
    limitConnections(answering, LIMIT, true, () => undefined);
    answering.listen(0, '127.0.0.1');
    await once(answering, 'listening');
    for (let i = 0; i < 4 * LIMIT; i++) {
      const {port} = answering.address() as AddressInfo;
      const client = net.connect({port, allowHalfOpen: true});
      clients.push(client.on('error', () => undefined));
      client.write(REQUEST);
      await once(client, 'data');
      await countOpen();
      expect(lingering.size).toBeLessThanOrEqual(MAX_OPEN - LIMIT);
    }
    await lingering.whenNone();
    await countOpen();
    answering.close();
    answering.closeAllConnections();
    expect(Math.max(...counts)).toBeGreaterThan(LIMIT);
    expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_OPEN);
    expect(counts.at(-1)).toBe(LIMIT);
  });
});
