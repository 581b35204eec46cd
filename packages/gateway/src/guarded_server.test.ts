import {once} from 'node:events';
import type http from 'node:http';
import type {ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createGatewayMetrics} from './gateway_metrics.js';
import {createGuardedServer} from './guarded_server.js';
import {HeadBudget} from './head_budget.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const HEAD_TIMEOUT_MS = 200;
const CONNECTIONS = 3;
const HEAD_LIMIT_BYTES = 3_300_000;
const MAX_HEADER_BYTES = 65_536;

describe('createGuardedServer', () => {
  let server: http.Server;
  let clients: net.Socket[];
  let received: string;
  let open: ServerResponse[];
  let heads: HeadBudget;

  beforeEach(async () => {
    open = [];
    clients = [];
    received = '';
    heads = new HeadBudget(HEAD_LIMIT_BYTES);
    const write = (): void => undefined;
    server = createGuardedServer(
      {
        headersTimeout: HEAD_TIMEOUT_MS,
        connectionsCheckingInterval: 50,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      {
        server: 'callers',
        maxConnections: CONNECTIONS,
        heads,
        log: {debug: write, info: write, warn: write, error: write},
        metrics: createGatewayMetrics(),
      },
      (_req, res) => void open.push(res),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const connect = (bytes: string): net.Socket => {
    const {port} = server.address() as AddressInfo;
    const client = net.connect(port, '127.0.0.1');
    client.on('data', data => (received += data.toString()));
    client.on('error', () => undefined);
    client.write(bytes);
    clients.push(client);
    return client;
  };
  const statuses = (): string[] =>
    [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]!);
  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 400 && !condition(); i++) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(condition()).toBe(true);
  };

  it('answers open requests before it refuses a head that is too slow', async () => {
    const client = connect(`${REQUEST}GET / HT`);
    await until(() => open.length === 1);
    await new Promise(resolve => setTimeout(resolve, 3 * HEAD_TIMEOUT_MS));
    expect(statuses()).toEqual([]);
    open[0]!.end();
    await once(client, 'close');
    expect(statuses()).toEqual(['200', '408']);
  });

  it('refuses a head that is too slow', async () => {
    await once(connect('GET / HT'), 'close');
    expect(statuses()).toEqual(['408']);
  });

  it('closes connections that ask for tunnels', async () => {
    const connectHead = 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n';
    const ends = Array.from({length: CONNECTIONS}, () => connect(connectHead));
    await until(() => ends.every(({closed}) => closed));
    expect(statuses()).toEqual(['405', '405', '405']);
  });

  it('answers no malformed body twice', async () => {
    const head = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked';
    const client = connect(`${head}\r\n\r\n`);
    await until(() => open.length === 1);
    open[0]!.end();
    await until(() => statuses().length === 1);
    client.write('zz\r\n');
    await once(client, 'close');
    expect(statuses()).toEqual(['200']);
  });

  it('keeps every field of a head', async () => {
    const fields = Array.from({length: 3_000}, () => 'a:\r\n').join('');
    const length = 'content-length: 2\r\n\r\n';
    connect(`POST / HTTP/1.1\r\nhost: a\r\n${fields}${length}hi`);
    await until(() => open.length === 1);
    const {req} = open[0]!;
    expect(req.rawHeaders.length).toBe(2 * 3_002);
    expect(req.headers['content-length']).toBe('2');
  });

  it('answers open requests before it refuses a head that has no room', async () => {
    const part = `GET / HTTP/1.1\r\nfield: ${'x'.repeat(60_000)}`;
    const client = connect(REQUEST + part);
    await until(() => open.length === 1);
    expect(statuses()).toEqual([]);
    open[0]!.end();
    await once(client, 'close');
    expect(statuses()).toEqual(['200', '503']);
    expect(received).toContain('\r\nRetry-After: 0.500\r\n');
    expect(heads.heldBytes).toBe(0);
  });
});
