import {once} from 'node:events';
import net from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {LINK_DIRECTION, LinkProxy} from './link_proxy.js';

const HOST = '127.0.0.1';
/** Milliseconds in which loopback delivers data that is not held back. */
const SETTLE_MS = 100;

describe('LinkProxy', () => {
  let echoServer: net.Server;
  let proxy: LinkProxy;
  let link: net.Socket;
  let received = '';
  let forwarded = '';

  beforeEach(async () => {
    received = forwarded = '';
    echoServer = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        forwarded += data.toString();
        socket.write(data);
      });
    });
    echoServer.listen(0, HOST);
    await once(echoServer, 'listening');
    proxy = new LinkProxy(HOST, (echoServer.address() as net.AddressInfo).port);
    link = net.connect({host: HOST, port: await proxy.listen(HOST, 0)});
    link.on('data', data => (received += data.toString()));
    link.on('error', () => undefined);
    await once(link, 'connect');
  });

  afterEach(() => {
    link.destroy();
    proxy.close();
    echoServer.close();
  });

  const settle = (): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, SETTLE_MS));

  it('forwards data in both directions', async () => {
    link.write('a');
    await settle();
    expect(received).toBe('a');
  });

  it('holds back a blocked direction and delivers its data after clearFault', async () => {
    proxy.injectFault({delayMs: 0, silent: [LINK_DIRECTION.OUTWARD]});
    link.write('a');
    await settle();
    expect([forwarded, received]).toEqual(['a', '']);
    proxy.clearFault();
    await settle();
    expect(received).toBe('a');
  });

  it('delays chunks without reordering them', async () => {
    proxy.injectFault({delayMs: 250, silent: []});
    link.write('a');
    await settle();
    link.write('b');
    expect(forwarded).toBe('');
    proxy.clearFault();
    await new Promise(resolve => setTimeout(resolve, 600));
    expect(received).toBe('ab');
  });

  it('resets links that are blocked in both directions', async () => {
    proxy.injectFault({delayMs: 0, silent: Object.values(LINK_DIRECTION)});
    link.write('a');
    await settle();
    proxy.resetLinks();
    await new Promise<void>(resolve => link.once('close', () => resolve()));
    expect(forwarded).toBe('');
  });
});
