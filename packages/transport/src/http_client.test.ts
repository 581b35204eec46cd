import {afterEach, describe, expect, it} from 'vitest';
import net from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {openExchange, readBody} from './http_client.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** How a server ends an answer that has no length. */
const ENDINGS: Record<string, (socket: Socket) => void> = {
  'a reset in the same moment': socket => {
    socket.write(`${HEAD}part`);
    setImmediate(() => socket.resetAndDestroy());
  },
  'a reset after a while': socket => {
    socket.write(`${HEAD}part`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'a reset after many bytes': socket => {
    socket.write(HEAD + 'x'.repeat(200_000));
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

describe('openExchange', () => {
  let server: Server;

  afterEach(() => void server.close());

  async function serve(answer: (socket: Socket) => void): Promise<string> {
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  }

  describe('an answer without a length', () => {
    for (const [name, end] of Object.entries(ENDINGS)) {
      it(`has failed after ${name}`, async () => {
        const url = await serve(end);
        const exchange = (
          await openExchange({url, method: 'GET'})
        )._unsafeUnwrap();
        await readBody(exchange.res, 1_000_000).catch(() => undefined);
        expect(exchange.hasFailed() || !exchange.res.complete).toBe(true);
      });
    }

    it('is whole after an orderly end', async () => {
      const url = await serve(socket => socket.end(`${HEAD}whole`));
      const exchange = (
        await openExchange({url, method: 'GET'})
      )._unsafeUnwrap();
      const body = await readBody(exchange.res, 1_000);
      expect(body.toString()).toBe('whole');
      expect(exchange.hasFailed()).toBe(false);
      expect(exchange.res.complete).toBe(true);
    });
  });

  describe('a path', () => {
    it('is sent as it is', async () => {
      let line = '';
      server = net.createServer(socket =>
        socket.once('data', data => {
          line = data.toString().split('\r\n')[0]!;
          socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
        }),
      );
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const {port} = server.address() as AddressInfo;
      const url = `http://127.0.0.1:${port}`;
      const rawPath = '/a/../b//c?x=%20&y';
      await openExchange({url, method: 'GET', rawPath});
      expect(line).toBe(`GET ${rawPath} HTTP/1.1`);
    });
  });
});
