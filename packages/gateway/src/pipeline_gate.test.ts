import {once} from 'node:events';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  MAX_SERVED_PER_CONNECTION,
  MAX_WAITING_PER_CONNECTION,
  PipelineGate,
} from './pipeline_gate.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

describe('PipelineGate', () => {
  let server: http.Server;
  let client: net.Socket;
  let received: string;
  let open: ServerResponse[];
  let started: number;
  let lost: number;
  let dropped: number;
  let unserved: number;
  let gate: PipelineGate;

  beforeEach(async () => {
    open = [];
    received = '';
    started = lost = dropped = unserved = 0;
    gate = new PipelineGate(
      (_req, res) => {
        started++;
        open.push(res);
        res.once('close', () => (lost += res.writableFinished ? 0 : 1));
      },
      {
        onCut: count => (dropped = count),
        onClosed: (_socket, _open, count) => (unserved = count),
      },
    );
    server = http.createServer((req, res) => gate.handle(req, res));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.on('data', data => (received += data.toString()));
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const answered = (): number => received.split('HTTP/1.1 200').length - 1;
  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 400 && !condition(); i++) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(condition()).toBe(true);
  };

  it('serves a bounded number at a time, and all in the end', async () => {
    const count = 4 * MAX_SERVED_PER_CONNECTION;
    client.write(REQUEST.repeat(count));
    await until(() => started === MAX_SERVED_PER_CONNECTION);
    client.write(REQUEST.repeat(count));
    while (answered() < 2 * count) {
      expect(open.length).toBeLessThanOrEqual(MAX_SERVED_PER_CONNECTION);
      const before = answered();
      for (const res of open.splice(0)) res.end();
      await until(() => answered() > before);
    }
    expect([started, dropped]).toEqual([2 * count, 0]);
  });

  it('closes a connection that sends too far ahead after its responses', async () => {
    client.write(REQUEST.repeat(2 * MAX_WAITING_PER_CONNECTION));
    await until(() => dropped > MAX_WAITING_PER_CONNECTION);
    for (const res of open) res.end();
    await once(client, 'close');
    expect(answered()).toBe(MAX_SERVED_PER_CONNECTION);
    expect(started).toBe(MAX_SERVED_PER_CONNECTION);
  });

  it('serves nothing behind a response that closes the connection', async () => {
    client.write(REQUEST.repeat(2));
    await until(() => started === 2);
    const [first, last] = open;
    last!.shouldKeepAlive = false;
    last!.flushHeaders();
    client.write(REQUEST);
    const {socket} = first!;
    await until(() => socket?.bytesRead === 3 * REQUEST.length);
    first!.end();
    last!.end();
    await once(client, 'close');
    expect([started, answered(), unserved]).toEqual([2, 2, 1]);
  });

  it('serves nothing behind an HTTP/1.0 response without a length', async () => {
    const head = 'HEAD / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n';
    client.write(head.repeat(2));
    await until(() => started > 0);
    for (const res of open) res.end();
    await once(client, 'close');
    expect([started, answered(), unserved]).toEqual([1, 1, 1]);
  });

  it('serves nothing that is read while the connection is being closed', async () => {
    client.write(REQUEST);
    await until(() => started === 1);
    const [last] = open;
    const {socket} = last!;
    last!.shouldKeepAlive = false;
    last!.once('finish', () => gate.handle({socket} as IncomingMessage, last!));
    last!.end();
    await once(client, 'close');
    expect([started, answered(), unserved]).toEqual([1, 1, 1]);
  });

  it('tells all responses that their connection is lost', async () => {
    client.write(REQUEST.repeat(3));
    await until(() => started === 3);
    client.destroy();
    await until(() => lost === 3);
  });
});
