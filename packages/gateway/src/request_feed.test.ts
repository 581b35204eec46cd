import {once} from 'node:events';
import http from 'node:http';
import type {IncomingMessage} from 'node:http';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HeadBudget} from './head_budget.js';
import {feedRequests} from './request_feed.js';

const HELD_PER_BYTE = 8;
const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const PART = 'GET / HTTP/1.1\r\nhost: a\r\nfield: va';
const post = (body: string): string =>
  `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
const CHUNKED =
  'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n' +
  '5\r\nhello\r\n0\r\n\r\n';

describe('an incomplete head', () => {
  let server: http.Server;
  let client: net.Socket;
  let heads: HeadBudget;
  let requests: IncomingMessage[];
  let bytesRead: number;
  let isBusy: boolean;
  let unreadable: Socket[];
  let closed: number;

  beforeEach(async () => {
    heads = new HeadBudget(100_000);
    requests = [];
    unreadable = [];
    bytesRead = closed = 0;
    isBusy = false;
    server = http.createServer((req, res) => {
      requests.push(req);
      req.resume();
      res.end();
    });
    feedRequests(server, heads, {
      isBusy: () => isBusy,
      isHeldBack: () => false,
      onUnreadable: socket => unreadable.push(socket),
      onClosed: () => closed++,
    });
    server.on('connection', (socket: Socket) =>
      socket.on('data', data => (bytesRead += data.length)),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.setNoDelay(true);
    client.on('error', () => undefined);
    client.resume();
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 400 && !condition(); i++) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(condition()).toBe(true);
  };
  /** Sends texts as one chunk each. */
  const send = async (...chunks: string[]): Promise<void> => {
    for (const chunk of chunks) {
      const end = bytesRead + chunk.length;
      client.write(chunk);
      await until(() => bytesRead === end);
    }
  };

  it.each<[string, ...string[]]>([
    ['by itself', PART],
    ['behind a request', GET + PART],
    ['behind several requests', GET + GET + PART],
    ['behind a body', post('hello') + PART],
    ['behind a body that looks like a head', post('he\r\n\r\n') + PART],
    ['behind bodies', GET + post('a') + GET + post('he\r\n\r\n') + PART],
    ['behind a chunked body', CHUNKED + PART],
    ['behind the rest of a body', post('hello').slice(0, -2), 'lo' + PART],
    [
      'behind the rest of a chunked body',
      CHUNKED.slice(0, -9),
      CHUNKED.slice(-9) + PART,
    ],
    ['behind the rest of a head', GET.slice(0, -1), '\n' + PART],
    [
      'behind the rest of a head and a body',
      post('he\r\n\r\n').slice(0, -7),
      post('he\r\n\r\n').slice(-7) + PART,
    ],
    ['in two chunks', PART.slice(0, 9), PART.slice(9)],
  ])('is charged %s', async (_place, ...chunks) => {
    await send(...chunks);
    expect(heads.heldBytes).toBe(HELD_PER_BYTE * PART.length);
    await send('lue\r\n\r\n');
    expect(heads.heldBytes).toBe(0);
  });

  it('is no longer charged when its connection is closed', async () => {
    await send(PART);
    client.destroy();
    await until(() => heads.heldBytes === 0);
  });

  it.each([
    ['a body', post('hello')],
    ['a chunked body', CHUNKED],
    ['an incomplete body', post('hello').slice(0, -2)],
  ])('is not taken to be in %s', async (_name, text) => {
    await send(text);
    expect(heads.heldBytes).toBe(0);
    expect(requests.length).toBe(1);
  });

  it('without room closes a connection without requests', async () => {
    client.write(`GET / HTTP/1.1\r\nhost: a\r\nlong: ${'x'.repeat(2_000)}`);
    await once(client, 'close');
    expect([closed, heads.heldBytes, unreadable.length]).toEqual([1, 0, 0]);
  });

  it('without room ends a connection with requests', async () => {
    isBusy = true;
    await send(`GET / HTTP/1.1\r\nhost: a\r\nlong: ${'x'.repeat(2_000)}`);
    expect([closed, unreadable.length]).toEqual([0, 1]);
  });

  it('gives way to smaller ones', async () => {
    heads.charge(97_000);
    await send(PART);
    heads.charge(1_000);
    expect(closed).toBe(0);
    expect(heads.makeRoom(250)).toBe(true);
    await once(client, 'close');
    expect(closed).toBe(1);
  });
});
