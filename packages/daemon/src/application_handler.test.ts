import {openExchange} from '@fescuespool/transport';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {forwardResponse} from './application_handler.js';

const PART = 'HTTP/1.1 200 OK\r\n\r\npart';
/** More than the connection's buffers hold, so that the upload goes on. */
const UPLOAD = Buffer.alloc(6_000_000, 'x');

const listen = async (server: Server): Promise<string> => {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
};

describe('a response without a length', () => {
  const servers: Server[] = [];

  afterEach(() => servers.splice(0).forEach(server => server.close()));

  /** Forwards the response of an upstream; whether it was forwarded whole. */
  const forward = async (
    respond: (socket: Socket) => void,
    body: Buffer,
  ): Promise<boolean> => {
    const upstream = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        respond(socket);
      });
    });
    let isWhole: Promise<boolean> = Promise.resolve(false);
    const entry = http.createServer((_req, res) => {
      isWhole = (async () => {
        const url = await listen(upstream);
        const opened = await openExchange({url, method: 'POST', body});
        if (opened.isErr()) return false;
        return forwardResponse(res, 'request-1')(opened.value);
      })();
      void isWhole.then(() => res.destroy());
    });
    servers.push(upstream, entry);
    const url = await listen(entry);
    await new Promise<void>(resolve => {
      const req = http.get(url, res => {
        res.on('error', () => undefined);
        res.on('close', resolve).resume();
      });
      req.on('error', () => resolve());
    });
    return isWhole;
  };

  it.each([0, UPLOAD.length])(
    'is not whole if it is reset after a part, with an upload of %i bytes',
    async bytes => {
      const isWhole = await forward(
        socket => {
          socket.write(PART);
          setTimeout(() => socket.resetAndDestroy(), 60);
        },
        UPLOAD.subarray(0, bytes),
      );
      expect(isWhole).toBe(false);
    },
  );

  it('is whole after an orderly end', async () => {
    const end = (socket: Socket): void => void socket.end(PART);
    expect(await forward(end, Buffer.alloc(0))).toBe(true);
  });
});
