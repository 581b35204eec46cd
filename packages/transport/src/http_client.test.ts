import {afterEach, describe, expect, it} from 'vitest';
import net from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {HttpCall} from './http_client.js';
import {openExchange, readBody} from './http_client.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** Resets of the connection during a response without a length. */
const RESETS: Record<string, (socket: Socket) => void> = {
  'a reset right after the first bytes': socket => {
    socket.write(`${HEAD}part`);
    setImmediate(() => socket.resetAndDestroy());
  },
  'a reset 20 ms after the first bytes': socket => {
    socket.write(`${HEAD}part`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'a reset 20 ms after 200 kB': socket => {
    socket.write(HEAD + 'x'.repeat(200_000));
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

const UNSENDABLE_CALLS: Record<string, Partial<HttpCall>> = {
  'a port out of range': {url: 'http://127.0.0.1:99999'},
  'an address that is none': {url: 'http://999.1.1.1:80'},
  'a path with a tab': {rawPath: '/a\tb'},
  'a header with a line break': {headers: ['X-Name', 'a\nb']},
};

describe('openExchange of a call that can not be sent', () => {
  for (const [name, changes] of Object.entries(UNSENDABLE_CALLS)) {
    it(`reports ${name} as an unsent call instead of throwing`, async () => {
      const call = {url: 'http://127.0.0.1:1', method: 'GET', ...changes};
      const error = (await openExchange(call))._unsafeUnwrapErr();
      expect(error).toMatchObject({kind: 'unsendable', isUnsent: true});
    });
  }
});

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

  describe('with a response delimited by its connection', () => {
    for (const [name, end] of Object.entries(RESETS)) {
      it(`reports a failure after ${name}`, async () => {
        const url = await serve(end);
        const exchange = (
          await openExchange({url, method: 'GET'})
        )._unsafeUnwrap();
        await readBody(exchange.res, 1_000_000).catch(() => undefined);
        expect(exchange.hasFailed() || !exchange.res.complete).toBe(true);
      });
    }

    it('reports a complete response after an orderly end', async () => {
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

  describe('with a status that HTTP does not have', () => {
    it.each(['000', '099', '600', '999'])(
      'reports %s as a failure',
      async status => {
        const head = `HTTP/1.1 ${status} Odd\r\ncontent-length: 4\r\n\r\n`;
        const url = await serve(socket => socket.write(`${head}text`));
        const opened = await openExchange({url, method: 'GET'});
        expect(opened._unsafeUnwrapErr().kind).toBe('ambiguous');
      },
    );
  });

  describe('with a raw path', () => {
    it('sends the path unchanged', async () => {
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
