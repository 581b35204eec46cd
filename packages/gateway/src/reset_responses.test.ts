import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {limitConnections} from './connection_limit.js';
import {LingeringConnections} from './lingering_connections.js';
import {PipelineGate} from './pipeline_gate.js';

/** Less than a loopback connection holds, so that all of it is written. */
const BODY = 'a'.repeat(2_000_000);
const GET = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
/** A request whose body does not end and is too long to be read at once. */
const UPLOAD = `POST /upload HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n${'b'.repeat(900_000)}`;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('a response that its caller has not received yet', () => {
  let server: http.Server;
  let clients: net.Socket[];
  let received: number;

  beforeEach(async () => {
    clients = [];
    received = 0;
    const gate = new PipelineGate(
      (req, res) => {
        if (req.url === '/whole') setTimeout(() => res.end(BODY), 100);
        if (req.url !== '/stream') return;
        res.write('data');
        setTimeout(() => res.destroy(new Error('cut')), 50);
      },
      {onCut: () => undefined, onClosed: () => undefined},
      req => req.url === '/stream',
    );
    server = http.createServer((req, res) => gate.handle(req, res));
    new LingeringConnections(server);
    limitConnections(server, 1, true, () => undefined);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const connect = (): net.Socket => {
    const client = net.connect((server.address() as AddressInfo).port);
    client.on('error', () => undefined);
    clients.push(client);
    return client;
  };

  /** Sends requests on a connection that is not read at first. */
  const sendUnread = async (requests: string): Promise<net.Socket> => {
    const client = connect();
    client.pause();
    client.write(requests);
    await pause(400);
    return client;
  };

  const receiveRest = async (client: net.Socket): Promise<void> => {
    client.on('data', data => (received += data.length));
    client.resume();
    await Promise.race([once(client, 'close'), pause(1_500)]);
  };

  it('is not lost when a stream behind it is cut before an unread body', async () => {
    const client = await sendUnread(GET('/whole') + GET('/stream') + UPLOAD);
    await receiveRest(client);
    expect(received).toBeGreaterThan(BODY.length);
  });

  it('is not lost when its connection is closed for a new one', async () => {
    const client = await sendUnread(GET('/whole') + UPLOAD);
    connect();
    await pause(100);
    await receiveRest(client);
    expect(received).toBeGreaterThan(BODY.length);
  });
});
