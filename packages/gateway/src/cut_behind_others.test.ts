import {once} from 'node:events';
import http from 'node:http';
import type {ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ResponseCutError} from './early_close.js';
import {LingeringConnections} from './lingering_connections.js';
import {PipelineGate} from './pipeline_gate.js';

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('a response that is cut while others of its connection are open', () => {
  let server: http.Server;
  let open: Map<string, ServerResponse>;
  let closed: string[];
  let client: net.Socket;
  let received: string;

  beforeEach(async () => {
    open = new Map();
    closed = [];
    received = '';
    const gate = new PipelineGate(
      (req, res) => {
        open.set(req.url!, res);
        res.once('close', () => closed.push(req.url!));
      },
      {onCut: () => undefined, onClosed: () => undefined},
      ({url}) => url === '/cut',
    );
    server = http.createServer((req, res) => gate.handle(req, res));
    new LingeringConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = net.connect((server.address() as AddressInfo).port);
    client.on('data', data => (received += data.toString('latin1')));
    client.on('error', () => undefined);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  const send = (...paths: string[]): void => {
    const request = (path: string): string =>
      `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
    client.write(paths.map(request).join(''));
  };
  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 400 && !condition(); i++) await pause(5);
    expect(condition()).toBe(true);
  };

  it('follows those before it', async () => {
    send('/first', '/second', '/cut', '/behind');
    await until(() => open.size === 3);
    const cut = open.get('/cut')!;
    cut.writeHead(200);
    cut.write('event');
    cut.destroy(new ResponseCutError());
    await pause(50);
    expect(received).toBe('');
    open.get('/second')!.end('two');
    open.get('/first')!.end('one');
    await until(() => client.closed);
    expect(received).toMatch(/one[^]*two[^]*event\r\n$/);
    expect(closed.sort()).toEqual(['/cut', '/first', '/second']);
  });

  it('can be ended by its owner afterwards without looking complete', async () => {
    send('/first', '/cut');
    await until(() => open.size === 2);
    const cut = open.get('/cut')!;
    cut.writeHead(200);
    cut.write('event');
    cut.destroy(new ResponseCutError());
    cut.end();
    open.get('/first')!.end('one');
    await until(() => client.closed);
    expect(received).toContain('event');
    expect(received).not.toMatch(/\r\n0\r\n\r\n$/);
  });

  it('can be destroyed after its end without a loss of later requests', async () => {
    send('/cut');
    await until(() => open.size === 1);
    const cut = open.get('/cut')!;
    cut.end('whole');
    await until(() => closed.length === 1);
    cut.destroy();
    send('/later');
    await until(() => open.size === 2 || client.closed);
  });
});
