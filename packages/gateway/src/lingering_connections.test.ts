import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {LingeringConnections} from './lingering_connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: svc.example\r\n\r\n';
/** Less than a loopback connection holds. */
const BODY = 'x'.repeat(3_000_000);

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('a connection that is ended after its last response', () => {
  let server: http.Server;
  let lingering: LingeringConnections;
  let client: net.Socket;
  let served: number;
  let received: number;
  /** Called before a response is written. */
  let prepare: (req: http.IncomingMessage) => void;

  beforeEach(async () => {
    served = received = 0;
    prepare = () => undefined;
    server = http.createServer((req, res) => {
      served++;
      prepare(req);
      res.writeHead(200, {Connection: 'close'});
      res.end(BODY);
    });
    lingering = new LingeringConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    client = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
    client.on('error', () => undefined);
    client.on('data', data => (received += data.length));
    client.pause();
    client.write(REQUEST);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const receiveAll = async (): Promise<void> => {
    const ended = once(client, 'close');
    client.resume();
    await once(client, 'end');
    const startMs = performance.now();
    client.end();
    await ended;
    expect(received).toBeGreaterThan(BODY.length);
    await lingering.whenNone();
    expect(performance.now() - startMs).toBeLessThan(1_000);
  };

  it('loses no response to what its caller sends meanwhile', async () => {
    await pause(100);
    client.write(REQUEST);
    await pause(50);
    await receiveAll();
    expect(served).toBe(1);
  });

  it('loses no response to bytes that were not read because it was paused', async () => {
    prepare = ({socket}) => void socket.pause();
    await pause(100);
    client.write(REQUEST);
    await pause(50);
    await receiveAll();
    expect(served).toBe(1);
  });

  it('is closed in time if its caller does not close it', async () => {
    client.resume();
    await once(client, 'end');
    const startMs = performance.now();
    await lingering.whenNone();
    expect(performance.now() - startMs).toBeLessThan(3_000);
  });

  it('is closed if its caller goes on sending', async () => {
    client.resume();
    await once(client, 'end');
    const startMs = performance.now();
    client.write('x'.repeat(1_000_000));
    await lingering.whenNone();
    expect(performance.now() - startMs).toBeLessThan(1_000);
  });
});
