import {once} from 'node:events';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HeadBudget} from './head_budget.js';
import {MAX_SERVED_HEAD_BYTES, MAX_SERVED_PER_CONNECTION} from './pipeline.js';
import {MAX_WAITING_PER_CONNECTION, PipelineGate} from './pipeline_gate.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
/** A request whose head holds about 100 KB. */
const LARGE_HEAD_BYTES = 100_000;
const LARGE = largeRequest(LARGE_HEAD_BYTES);
const HEAD_LIMIT_BYTES = 3_200_000;

function largeRequest(heldBytes: number): string {
  const count = Math.round(heldBytes / 144);
  const fields = Array.from({length: count}, (_, i) => `f${1_000 + i}:abc\r\n`);
  return `GET / HTTP/1.1\r\nhost: a\r\n${fields.join('')}\r\n`;
}

describe('PipelineGate', () => {
  let server: http.Server;
  let client: net.Socket;
  let received: string;
  let open: ServerResponse[];
  let started: number;
  let lost: number;
  let dropped: number;
  let unserved: number;
  let refused: number;
  let gate: PipelineGate;
  let heads: HeadBudget;

  beforeEach(async () => {
    open = [];
    received = '';
    started = lost = dropped = unserved = refused = 0;
    heads = new HeadBudget(HEAD_LIMIT_BYTES);
    gate = new PipelineGate(
      (_req, res, _waitedMs, hasRoom) => {
        if (!hasRoom) {
          refused++;
          res.writeHead(503).end();
          return;
        }
        started++;
        open.push(res);
        res.once('close', () => (lost += res.writableFinished ? 0 : 1));
      },
      {
        onCut: count => (dropped = count),
        onClosed: (_socket, _open, count) => (unserved = count),
      },
      undefined,
      heads,
    );
    const options = {maxHeaderSize: 65_536};
    server = http.createServer(options, (req, res) => gate.handle(req, res));
    server.maxHeadersCount = 0;
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
    const late = {socket, headers: {}} as IncomingMessage;
    last!.shouldKeepAlive = false;
    last!.once('finish', () => gate.handle(late, last!));
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

  describe('with heads of many fields', () => {
    const connect = (): net.Socket => {
      const {port} = server.address() as AddressInfo;
      return net.connect(port, '127.0.0.1').on('error', () => undefined);
    };

    it('serves fewer at a time, and all in the end', async () => {
      client.write(LARGE.repeat(12));
      await until(() => started > 0);
      while (answered() < 12) {
        const heldBytes = open.length * LARGE_HEAD_BYTES;
        expect(heldBytes).toBeLessThanOrEqual(MAX_SERVED_HEAD_BYTES);
        const before = answered();
        for (const res of open.splice(0)) res.end();
        await until(() => answered() > before && started > before);
      }
      expect([started, dropped]).toEqual([12, 0]);
      await until(() => heads.heldBytes === 0);
    });

    it('serves one that holds more than that by itself', async () => {
      client.write(largeRequest(1.2 * MAX_SERVED_HEAD_BYTES) + REQUEST);
      await until(() => started === 1);
      for (const res of open.splice(0)) res.end();
      await until(() => started === 2);
    });

    it('answers one that never has room after those before it', async () => {
      const request = largeRequest(HEAD_LIMIT_BYTES / 7);
      client.write(REQUEST + request + REQUEST);
      await until(() => started === 1);
      await new Promise(resolve => setTimeout(resolve, 50));
      expect(received).toBe('');
      for (const res of open) res.end();
      await once(client, 'close');
      expect([answered(), started]).toEqual([1, 1]);
      expect(received).toContain('HTTP/1.1 431 ');
      expect(heads.heldBytes).toBe(0);
    });

    it('drops what waits on the connection that holds the most', async () => {
      client.write(LARGE.repeat(6));
      await until(() => started === 2);
      const {socket} = open[0]!;
      await until(() => socket?.bytesRead === 6 * LARGE.length);
      heads.charge(HEAD_LIMIT_BYTES - heads.heldBytes - 60_000);
      const other = connect();
      other.write(REQUEST);
      await until(() => started === 3);
      expect([dropped, refused]).toEqual([0, 0]);
      other.write(REQUEST.repeat(2));
      const large = connect();
      large.write(largeRequest(30_000));
      await until(() => started === 6);
      expect([dropped, refused]).toEqual([4, 0]);
      for (const res of open) res.end();
      await once(client, 'close');
      expect([answered(), unserved]).toEqual([2, 0]);
      other.destroy();
      large.destroy();
    });

    it('has those refused that find no room, and serves others', async () => {
      heads.charge(HEAD_LIMIT_BYTES - 200_000);
      client.write(LARGE);
      await until(() => refused === 1);
      client.write(REQUEST);
      await until(() => started === 1);
      for (const res of open) res.end();
      await until(() => answered() === 1);
      expect(heads.heldBytes).toBe(HEAD_LIMIT_BYTES - 200_000);
    });

    it('holds nothing of a connection that is lost', async () => {
      client.write(LARGE.repeat(6));
      await until(() => started === 2);
      client.destroy();
      await until(() => heads.heldBytes === 0);
    });
  });
});
