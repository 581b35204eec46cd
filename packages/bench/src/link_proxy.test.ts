import {once} from 'node:events';
import net from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {LINK_DIRECTION, LinkProxy} from './link_proxy.js';

const HOST = '127.0.0.1';
/** Time in milliseconds in which loopback delivers what is not held back. */
const SETTLE_MS = 100;

describe('LinkProxy', () => {
  let echo: net.Server;
  let proxy: LinkProxy;
  let link: net.Socket;
  let got = '';
  let arrived = '';

  beforeEach(async () => {
    got = arrived = '';
    echo = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        arrived += data.toString();
        socket.write(data);
      });
    });
    echo.listen(0, HOST);
    await once(echo, 'listening');
    proxy = new LinkProxy(HOST, (echo.address() as net.AddressInfo).port);
    link = net.connect({host: HOST, port: await proxy.listen(HOST, 0)});
    link.on('data', data => (got += data.toString()));
    link.on('error', () => undefined);
    await once(link, 'connect');
  });

  afterEach(() => {
    link.destroy();
    proxy.close();
    echo.close();
  });

  const settle = (): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, SETTLE_MS));

  it('passes on both ways', async () => {
    link.write('a');
    await settle();
    expect(got).toBe('a');
  });

  it('holds one direction back, and gives it on when restored', async () => {
    proxy.injectFault({delayMs: 0, silent: [LINK_DIRECTION.OUTWARD]});
    link.write('a');
    await settle();
    expect([arrived, got]).toEqual(['a', '']);
    proxy.clearFault();
    await settle();
    expect(got).toBe('a');
  });

  it('delays pieces without changing their order', async () => {
    proxy.injectFault({delayMs: 250, silent: []});
    link.write('a');
    await settle();
    link.write('b');
    expect(arrived).toBe('');
    proxy.clearFault();
    await new Promise(resolve => setTimeout(resolve, 600));
    expect(got).toBe('ab');
  });

  it('resets links, also silent ones', async () => {
    proxy.injectFault({delayMs: 0, silent: Object.values(LINK_DIRECTION)});
    link.write('a');
    await settle();
    proxy.resetLinks();
    await new Promise<void>(resolve => link.once('close', () => resolve()));
    expect(arrived).toBe('');
  });
});
