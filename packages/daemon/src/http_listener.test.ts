import {once} from 'node:events';
import net from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HttpListener} from './http_listener.js';

/** More than a loopback connection holds. */
const BODY = 'x'.repeat(12_000_000);

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('a listener that stops accepting connections', () => {
  let listener: HttpListener;
  let clients: net.Socket[];
  let port: number;

  beforeEach(async () => {
    clients = [];
    listener = new HttpListener(
      (req, res) => res.end(req.url === '/large' ? BODY : 'small'),
      null,
    );
    port = await listener.listen('127.0.0.1', 0);
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    listener.close();
  });

  const connect = (): net.Socket => {
    const client = net.connect(port, '127.0.0.1');
    clients.push(client);
    client.on('error', () => undefined);
    return client;
  };

  it('does not cut a response that its caller has not read yet', async () => {
    const client = connect();
    let received = 0;
    client.on('data', data => (received += data.length));
    client.pause();
    client.write('GET /large HTTP/1.1\r\nHost: svc.example\r\n\r\n');
    await pause(200);
    listener.stopAccepting();
    expect(listener.openResponseCount).toBe(1);
    const closed = once(client, 'close');
    await pause(100);
    client.resume();
    await closed;
    expect(received).toBeGreaterThan(BODY.length);
    expect(listener.openResponseCount).toBe(0);
  });

  it('closes idle connections', async () => {
    const client = connect();
    client.write('GET /small HTTP/1.1\r\nHost: svc.example\r\n\r\n');
    await once(client, 'data');
    const closed = once(client, 'close');
    listener.stopAccepting();
    await closed;
  });
});
