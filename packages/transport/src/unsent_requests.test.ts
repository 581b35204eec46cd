import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Server, Socket, TcpNetConnectOpts} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {openExchange} from './http_client.js';
import {SingleUseAgent, UpstreamAgent} from './upstream_agent.js';

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';
const ROUNDS = 40;
const CALLS_AT_ONCE = 25;
const MAX_DELAY_MS = 4;

/** Numbers from 0 to 1 that a seed fixes. */
function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

/** What a server does with a new connection or with a request. */
const TREATMENTS: readonly ((socket: Socket) => void)[] = [
  socket => void socket.write(ANSWER),
  socket => void socket.end(ANSWER),
  socket => void socket.resetAndDestroy(),
  socket => void socket.destroy(),
  () => undefined,
];

describe('a request that counts as unsent', () => {
  const random = randomFrom(20261207);
  const arrivedPaths = new Set<string>();
  const sockets = new Set<Socket>();
  let server: Server;

  const treat = (socket: Socket): void => {
    const treatment = TREATMENTS[Math.floor(random() * TREATMENTS.length)]!;
    treatment(socket);
  };

  beforeEach(async () => {
    server = net.createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      if (random() < 0.1) return treat(socket);
      socket.on('data', data => {
        for (const [, path] of String(data).matchAll(/GET (\S+) HTTP/g))
          arrivedPaths.add(path!);
        treat(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  it('has not arrived, whenever its connection fails or its send is given up', async () => {
    const {port} = server.address() as AddressInfo;
    const open = async (args: TcpNetConnectOpts): Promise<Socket> => {
      if (random() < 0.3) await sleep(random() * MAX_DELAY_MS);
      const socket = net.connect(args);
      await once(socket, 'connect');
      socket.on('error', () => undefined);
      return socket;
    };
    const agents = [
      new UpstreamAgent(1_000, 8, open),
      new SingleUseAgent(open),
    ];
    const unsent: string[] = [];
    let sent = 0;
    const call = async (path: string): Promise<void> => {
      const abort = new AbortController();
      const delayMs = random() * MAX_DELAY_MS;
      setTimeout(() => abort.abort(), random() < 0.5 ? delayMs : 50);
      const opened = await openExchange({
        url: `http://127.0.0.1:${port}`,
        rawPath: path,
        method: 'GET',
        agent: agents[Math.floor(random() * agents.length)]!,
        connectTimeoutMs: random() < 0.3 ? delayMs : 50,
        signal: abort.signal,
      });
      if (opened.isOk()) opened.value.res.resume();
      if (opened.isErr() && opened.error.isUnsent) unsent.push(path);
      else sent++;
    };
    for (let round = 0; round < ROUNDS; round++) {
      const paths = Array.from(
        {length: CALLS_AT_ONCE},
        (_, i) => `/${round}-${i}`,
      );
      await Promise.all(paths.map(call));
    }
    // Until what is on its way has been read.
    await sleep(50);
    for (const agent of agents) agent.destroy();
    expect(sent).toBeGreaterThan(0);
    expect(unsent.length).toBeGreaterThan(0);
    expect(unsent.filter(path => arrivedPaths.has(path))).toEqual([]);
  });
});
