import {once} from 'node:events';
import http from 'node:http';
import type {ServerResponse} from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ResponseCutError} from './early_close.js';
import {LingeringConnections} from './lingering_connections.js';
import {PipelineGate} from './pipeline_gate.js';

/** More than a loopback connection holds. */
const LARGE_EVENT = 'e'.repeat(12_000_000);
const EVENT = 'data: 1\n\n';
const LAST_CHUNK = '\r\n0\r\n\r\n';

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

interface Framing {
  readonly version: '0.9' | '1.0' | '1.1' | '2.0';
  /** Headers of the response. */
  readonly headers: Readonly<Record<string, string>>;
}

const FRAMINGS: ReadonlyArray<readonly [string, Framing]> = [
  ['in chunks', {version: '1.1', headers: {}}],
  ['with a length', {version: '1.1', headers: {'content-length': '99000000'}}],
  ['that ends with its connection', {version: '1.0', headers: {}}],
  ['to a caller that says HTTP/0.9', {version: '0.9', headers: {}}],
  ['to a caller that says HTTP/2.0', {version: '2.0', headers: {}}],
  [
    'in chunks on a connection that it closes',
    {version: '1.1', headers: {connection: 'close'}},
  ],
];

/** A caller that counts what it receives. */
class Caller {
  /** The end of what has been received. */
  tail = '';
  received = 0;
  /** Whether the connection ended in order. */
  hasEnded = false;
  readonly socket: net.Socket;

  constructor(server: http.Server) {
    this.socket = net.connect((server.address() as AddressInfo).port);
    this.socket.on('error', () => undefined);
    this.socket.on('end', () => (this.hasEnded = true));
    this.socket.on('data', data => {
      this.received += data.length;
      this.tail = (this.tail + data.toString('latin1')).slice(-1_000);
    });
  }

  send(version: string, path = '/'): void {
    this.socket.write(`GET ${path} HTTP/${version}\r\nhost: a\r\n\r\n`);
  }

  async closed(): Promise<void> {
    const {socket} = this;
    if (socket.closed) return;
    await new Promise(resolve => socket.once('close', resolve));
  }
}

describe('a response that is cut', () => {
  let server: http.Server;
  let lingering: LingeringConnections;
  let respond: (res: ServerResponse) => void;
  let served: string[];
  let closes: Array<{open: number; unserved: number; cause: Error | null}>;
  let callers: Caller[];

  beforeEach(async () => {
    served = [];
    closes = [];
    callers = [];
    const gate = new PipelineGate(
      (req, res) => {
        served.push(req.url ?? '');
        respond(res);
      },
      {
        onCut: () => undefined,
        onClosed: (_socket, open, unserved, cause) =>
          closes.push({open: open.length, unserved, cause}),
      },
      () => true,
    );
    server = http.createServer((req, res) => gate.handle(req, res));
    lingering = new LingeringConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const {socket} of callers) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  const connect = (): Caller => {
    const caller = new Caller(server);
    callers.push(caller);
    return caller;
  };
  const cut = (res: ServerResponse): void =>
    void res.destroy(new ResponseCutError());

  /** Whether the end of a response can be taken for that of a whole one. */
  const looksComplete = (
    {tail, hasEnded}: Caller,
    {version, headers}: Framing,
  ): boolean => {
    if (version !== '1.1') return hasEnded;
    if (headers['content-length']) return false;
    return tail.endsWith(LAST_CHUNK);
  };

  describe.each(FRAMINGS)('%s', (_name, framing) => {
    const {version, headers} = framing;

    it('does not take its first event with it', async () => {
      respond = res => {
        res.writeHead(200, headers);
        res.write(EVENT);
        cut(res);
      };
      const caller = connect();
      caller.send(version);
      await caller.closed();
      expect(caller.tail).toContain(EVENT);
      expect(looksComplete(caller, framing)).toBe(false);
    });

    it('is sent as far as it was handed over to a slow caller', async () => {
      respond = res => {
        res.writeHead(200, headers);
        res.write(LARGE_EVENT);
        setTimeout(() => cut(res), 50);
      };
      const caller = connect();
      caller.socket.pause();
      caller.send(version);
      await pause(400);
      caller.socket.resume();
      await caller.closed();
      expect(caller.received).toBeGreaterThan(LARGE_EVENT.length);
      expect(looksComplete(caller, framing)).toBe(false);
    });

    it('holds its connection for a bounded time before a caller that does not read', async () => {
      respond = res => {
        res.writeHead(200, headers);
        res.write(LARGE_EVENT);
        cut(res);
      };
      const caller = connect();
      caller.socket.pause();
      caller.send(version);
      const [socket] = (await once(server, 'connection')) as [net.Socket];
      const startMs = performance.now();
      await new Promise(resolve => socket.once('close', resolve));
      expect(performance.now() - startMs).toBeLessThan(3_000);
      await lingering.whenNone();
      // Node.js reads a reset behind bytes that wait as an end.
      if (version !== '1.1') return;
      caller.socket.resume();
      await caller.closed();
      expect(looksComplete(caller, framing)).toBe(false);
    });

    it('does not look complete if the server closes its connection', async () => {
      respond = res => {
        res.writeHead(200, headers);
        res.write(EVENT);
      };
      const caller = connect();
      caller.send(version);
      await once(caller.socket, 'data');
      server.closeAllConnections();
      await caller.closed();
      expect(looksComplete(caller, framing)).toBe(false);
    });

    it('does not look complete if that happens while it is being cut', async () => {
      respond = res => {
        res.writeHead(200, headers);
        res.write(EVENT);
        setTimeout(() => cut(res), 50);
      };
      const caller = connect();
      caller.send(version);
      await pause(100);
      server.closeAllConnections();
      await caller.closed();
      expect(looksComplete(caller, framing)).toBe(false);
    });
  });

  it('serves and answers nothing behind it, and is told once', async () => {
    respond = res => {
      res.write(EVENT);
      setTimeout(() => cut(res), 50);
    };
    const caller = connect();
    caller.send('1.1', '/cut');
    caller.send('1.1', '/waiting');
    await once(caller.socket, 'end');
    caller.send('1.1', '/later');
    await caller.closed();
    await lingering.whenNone();
    expect(served).toEqual(['/cut']);
    const early = closes.filter(({open}) => open > 0);
    expect(early).toHaveLength(1);
    expect(early[0]).toMatchObject({open: 1, unserved: 1});
    expect(early[0]!.cause).toBeInstanceOf(ResponseCutError);
  });

  it('has ended for all who wait for it while its caller still receives it', async () => {
    let closed = 0;
    let closedAtCut = 0;
    respond = res => {
      res.once('close', () => closed++);
      res.write(LARGE_EVENT);
      setTimeout(() => {
        cut(res);
        closedAtCut = closed;
      }, 50);
    };
    const caller = connect();
    caller.socket.pause();
    caller.send('1.1');
    await pause(200);
    expect([closedAtCut, closed]).toEqual([0, 1]);
    let isLingering = true;
    void lingering.whenNone().then(() => (isLingering = false));
    await pause(50);
    expect(isLingering).toBe(true);
    caller.socket.resume();
    await caller.closed();
    await lingering.whenNone();
    expect(caller.received).toBeGreaterThan(LARGE_EVENT.length);
    expect(closed).toBe(1);
  });

  it('needs no grace if its caller has left', async () => {
    const left = new Promise<void>(resolve => {
      respond = res => {
        res.write(LARGE_EVENT);
        res.once('close', () => {
          cut(res);
          resolve();
        });
      };
    });
    const caller = connect();
    caller.socket.pause();
    caller.send('1.1');
    await pause(100);
    caller.socket.resetAndDestroy();
    await left;
    const startMs = performance.now();
    await lingering.whenNone();
    expect(performance.now() - startMs).toBeLessThan(500);
  });
});
