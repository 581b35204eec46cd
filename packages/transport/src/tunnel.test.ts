import net from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {TUNNEL_STATUS} from './constants.js';
import type {TunnelPeer} from './tunnel_client.js';
import {openTunnel} from './tunnel_client.js';
import {TunnelServer} from './tunnel_server.js';
import type {TunnelStatus} from './types.js';

const TIMEOUT_MS = 500;

describe.each([
  ['a chunked tunnel', true],
  ['a tunnel to a peer of an earlier release', false],
])('%s', (_name, hasChunkedTunnels) => {
  let target: Server;
  let tunnels: TunnelServer;
  let refusal: TunnelStatus | null;
  /** Connections that the target has accepted. */
  let accepted: Socket[];
  let targetAddress: string;
  let peer: TunnelPeer;

  beforeEach(async () => {
    refusal = null;
    accepted = [];
    target = net.createServer(socket => {
      socket.on('error', () => undefined);
      accepted.push(socket);
    });
    targetAddress = `127.0.0.1:${await listen(target)}`;
    tunnels = new TunnelServer({
      refusalFor: () => refusal,
      connectTo: connectDirectly,
    });
    const port = await listen(tunnels.server);
    peer = {host: '127.0.0.1', port, hasChunkedTunnels};
  });

  afterEach(() => {
    tunnels.close();
    target.close();
    for (const socket of accepted) socket.destroy();
  });

  const open = async (): Promise<Duplex> => {
    const result = await openTunnel(peer, targetAddress, TIMEOUT_MS);
    if (result.kind !== 'open') throw new Error(result.kind);
    return result.socket;
  };

  it('carries bytes in both directions until the target ends', async () => {
    const socket = await open();
    const received = readAll(socket);
    socket.write('question');
    accepted[0]!.once('data', data => accepted[0]!.end(`answer to ${data}`));
    const {text, error} = await received;
    expect(text).toBe('answer to question');
    // Only chunks tell the end of the target from that of the peer.
    if (hasChunkedTunnels) expect(error).toBe(null);
    else expect(error).toBeInstanceOf(Error);
    await tunnels.whenIdle();
  });

  it('fails if the peer ends before the target', async () => {
    const socket = await open();
    const received = readAll(socket);
    accepted[0]!.write('part');
    await new Promise(resolve => socket.once('data', resolve));
    tunnels.close();
    expect(await received).toMatchObject({text: 'part', error: {}});
  });

  it('fails if the connection to the peer ends in good order', async () => {
    const clients: Socket[] = [];
    tunnels.server.on('connection', client => clients.push(client));
    const socket = await open();
    const received = readAll(socket);
    accepted[0]!.write('part');
    await new Promise(resolve => socket.once('data', resolve));
    // As the kernel does for a process that was killed.
    for (const client of clients) client.destroy();
    expect(await received).toMatchObject({text: 'part', error: {}});
  });

  it('carries more bytes than its buffers hold, both ways', async () => {
    const socket = await open();
    const received = readAll(socket);
    const size = 4 * 1_024 * 1_024;
    accepted[0]!.once('data', () => accepted[0]!.end('y'.repeat(size)));
    let sent = 0;
    accepted[0]!.on('data', data => (sent += data.length));
    const written = new Promise(resolve =>
      socket.write('x'.repeat(size), resolve),
    );
    await written;
    const {text} = await received;
    expect(text.length).toBe(size);
    expect(sent).toBeGreaterThan(0);
  });

  it('passes on the reset of a target as a reset', async () => {
    const socket = await open();
    const received = readAll(socket);
    accepted[0]!.write('part', () => accepted[0]!.resetAndDestroy());
    expect((await received).error).not.toBe(null);
  });

  it('closes the connection to the target when its client leaves', async () => {
    const socket = await open();
    const closed = new Promise(resolve => accepted[0]!.once('close', resolve));
    accepted[0]!.resume();
    socket.destroy();
    await closed;
    await tunnels.whenIdle();
  });

  it('is refused for a target that is not permitted', async () => {
    refusal = TUNNEL_STATUS.FORBIDDEN;
    const result = await openTunnel(peer, targetAddress, TIMEOUT_MS);
    expect(result).toEqual({kind: 'unavailable', cause: 'status 403'});
    expect(accepted).toEqual([]);
  });

  it('says that a target can not be reached', async () => {
    target.close();
    const result = await openTunnel(peer, targetAddress, TIMEOUT_MS);
    expect(result.kind).toBe('unreachable');
  });

  it('fails if the peer does not answer in time', async () => {
    const silent = net.createServer();
    const port = await listen(silent);
    const silentPeer = {...peer, port};
    const result = await openTunnel(silentPeer, targetAddress, 50);
    expect(result.kind).toBe('unavailable');
    silent.close();
  });
});

async function listen(server: {
  listen(port: number, host: string, done: () => void): unknown;
  address(): AddressInfo | string | null;
}): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

function connectDirectly(address: string): Promise<Socket | null> {
  const [host = '', port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    socket.once('connect', () => resolve(socket));
    socket.on('error', () => resolve(null));
  });
}

/** Reads a socket to its end, and the error that ended it. */
function readAll(socket: Duplex): Promise<{text: string; error: Error | null}> {
  return new Promise(resolve => {
    let text = '';
    let error: Error | null = null;
    socket.on('data', data => (text += String(data)));
    socket.on('error', e => (error = e));
    socket.on('close', () => resolve({text, error}));
  });
}
