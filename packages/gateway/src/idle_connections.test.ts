import {SYSTEM_CLOCK} from '@fescuespool/common';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {IdleConnections} from './idle_connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const IDLE_MS = 50;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('IdleConnections', () => {
  let server: http.Server;
  let idle: IdleConnections;
  let client: net.Socket;
  let received: string;
  /** Code of the error of the connection, 'end' for its orderly end. */
  let ends: string[];

  beforeEach(async () => {
    received = '';
    ends = [];
    const write = (): void => undefined;
    server = http.createServer((req, res) => {
      idle.handleRequest(req, res);
      res.end('hello');
    });
    const log = {debug: write, info: write, warn: write, error: write};
    idle = new IdleConnections(server, SYSTEM_CLOCK, log);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    client = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
    client.on('data', data => (received += data.toString()));
    client.on('end', () => ends.push('end'));
    client.on('error', (err: NodeJS.ErrnoException) =>
      ends.push(err.code ?? ''),
    );
    client.write(REQUEST);
    await once(client, 'data');
    await pause(50);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const answered = (): number => received.split('HTTP/1.1 200').length - 1;

  it('answers a request that has arrived when idle connections are closed', async () => {
    client.write(REQUEST);
    server.closeIdleConnections();
    await pause(300);
    expect(answered()).toBe(2);
    expect(ends).not.toContain('ECONNRESET');
  });

  it('answers a request that arrives when the server is closed', async () => {
    client.write(REQUEST);
    server.close();
    await pause(300);
    expect(answered()).toBe(2);
    expect(ends).not.toContain('ECONNRESET');
  });

  describe('resets no connection whose request crosses', () => {
    /** Sends on a connection that the server has ended; a reset fails a write. */
    const cross = async (): Promise<void> => {
      if (!ends.includes('end')) await once(client, 'end');
      for (const bytes of [REQUEST, REQUEST]) {
        client.write(bytes);
        await pause(50);
      }
      expect([answered(), ends]).toEqual([1, ['end']]);
      client.end();
      await once(client, 'close');
      await idle.lingering.whenNone();
    };

    it('the close of idle connections', async () => {
      server.closeIdleConnections();
      await cross();
    });

    it('the idle limit', async () => {
      idle.setLimit(IDLE_MS);
      client.write(REQUEST);
      await once(client, 'data');
      received = received.slice(0, received.length / 2);
      await cross();
    });
  });

  it('has ended all when it says so, and waits a bounded time for their callers', async () => {
    server.closeIdleConnections();
    await idle.whenClosed();
    expect(idle.lingering.size).toBe(1);
    const startMs = performance.now();
    await idle.lingering.whenNone();
    expect(performance.now() - startMs).toBeLessThan(1_000);
  });
});
