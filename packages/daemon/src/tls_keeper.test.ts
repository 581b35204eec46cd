import {
  FleetProcess,
  FLEET_PORT,
  HarnessError,
  waitFor,
} from '@fescuespool/bench';
import {sha256Hex} from '@fescuespool/common';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import https from 'node:https';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import selfsigned from 'selfsigned';
import type {TLSSocket} from 'node:tls';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const require = createRequire(import.meta.url);
const NETWORK = `127.251.${1 + Math.floor(Math.random() * 250)}`;
const READ_TOKEN = 'token-for-reading';
const WRITE_TOKEN = 'token-for-writing';

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly serial: string;
}

describe('TLS and operator tokens', () => {
  const folder = mkdtempSync(join(tmpdir(), 'fescuespool-tls-'));
  const processes: FleetProcess[] = [];
  const script = (name: string): string =>
    join(dirname(require.resolve(`@fescuespool/${name}`)), 'main.js');
  const path = (name: string): string => join(folder, name);

  const writePair = (name: string): void => {
    const attributes = [{name: 'commonName', value: name}];
    const pair = selfsigned.generate(attributes, {days: 2, keySize: 2048});
    writeFileSync(path(`${name}.crt`), pair.cert);
    writeFileSync(path(`${name}.key`), pair.private);
  };
  const tls = (name: string): object => ({
    certFile: path(`${name}.crt`),
    keyFile: path(`${name}.key`),
  });
  const settingsOf = (index: number, pair: string): object => {
    const host = `${NETWORK}.${index}`;
    return {
      memberId: `entry-${index}`,
      zone: 'zone-a',
      bindAddress: host,
      caller: {host, port: FLEET_PORT.CALLER, tls: tls('public')},
      operator: {
        host,
        port: FLEET_PORT.OPERATOR,
        tls: tls('public'),
        tokens: [
          {name: 'r', tokenHash: sha256Hex(READ_TOKEN), scope: 'read'},
          {name: 'w', tokenHash: sha256Hex(WRITE_TOKEN), scope: 'write'},
        ],
      },
      peer: {
        host,
        port: FLEET_PORT.PEER,
        tls: {...tls(pair), caFile: path('peers.crt')},
      },
      platform: {url: `http://${NETWORK}.1:${FLEET_PORT.PLATFORM}`},
      seeds: [
        {
          id: 'entry-2',
          zone: 'zone-a',
          address: `${NETWORK}.2:${FLEET_PORT.PEER}`,
        },
      ],
    };
  };
  const startDaemon = async (index: number, pair: string): Promise<void> => {
    const file = path(`entry-${index}.json`);
    writeFileSync(file, JSON.stringify(settingsOf(index, pair)));
    const args = ['--settings', file];
    processes.push(await FleetProcess.start(script('daemon'), args));
  };
  const ask = (
    index: number,
    route: string,
    token?: string,
    body?: unknown,
  ): Promise<Answer> =>
    new Promise((resolve, reject) => {
      const req = https.request(
        `https://${NETWORK}.${index}:${FLEET_PORT.OPERATOR}${route}`,
        {
          method: body === undefined ? 'GET' : 'POST',
          agent: false,
          // The certificate is self-signed for a name that is no address.
          rejectUnauthorized: false,
          headers: token ? {authorization: `Bearer ${token}`} : {},
        },
        res => {
          const {serialNumber} = (res.socket as TLSSocket).getPeerCertificate();
          let text = '';
          res.on('data', chunk => (text += String(chunk)));
          res.on('end', () =>
            resolve({
              status: res.statusCode ?? 0,
              body: JSON.parse(text) as Record<string, unknown>,
              serial: serialNumber,
            }),
          );
        },
      );
      req.on('error', reject);
      req.end(body === undefined ? undefined : JSON.stringify(body));
    });
  const reachable = async (index: number): Promise<string[]> => {
    const {body} = await ask(index, '/nodes', READ_TOKEN);
    const nodes = body['nodes'] as Array<{id: string; reachable: boolean}>;
    return nodes.filter(node => node.reachable).map(node => node.id);
  };

  beforeAll(async () => {
    for (const name of ['public', 'peers', 'stranger']) writePair(name);
    const platform = JSON.stringify({
      host: `${NETWORK}.1`,
      port: FLEET_PORT.PLATFORM,
    });
    const args = ['platform', platform];
    processes.push(await FleetProcess.start(script('stand-ins'), args));
    await startDaemon(2, 'peers');
    await startDaemon(3, 'peers');
  });
  afterAll(async () => {
    await Promise.all(processes.map(item => item.kill()));
    rmSync(folder, {recursive: true});
  });

  it('let daemons with a certificate of the authority meet', async () => {
    await waitFor('they see each other', async () =>
      (await reachable(2)).includes('entry-3'),
    );
  });

  it('keep a daemon with another certificate out', async () => {
    await startDaemon(4, 'stranger');
    await waitFor('it has failed to reach its seed', async () => {
      const {body} = await ask(4, '/nodes', READ_TOKEN);
      const nodes = body['nodes'] as Array<{id: string; state: string}>;
      return nodes.some(n => n.id === 'entry-2' && n.state === 'dead');
    });
    expect(await reachable(2)).not.toContain('entry-4');
  });

  it('ask for a token of the right scope', async () => {
    const patch = {baseVersion: 0, patch: {}};
    expect((await ask(2, '/nodes')).status).toBe(401);
    expect((await ask(2, '/nodes', 'wrong')).status).toBe(401);
    expect((await ask(2, '/config/patch', READ_TOKEN, patch)).status).toBe(401);
    expect((await ask(2, '/config/patch', WRITE_TOKEN, patch)).status).toBe(
      422,
    );
  });

  it('rotate a certificate without a restart', async () => {
    const {serial} = await ask(2, '/nodes', READ_TOKEN);
    writePair('public');
    await waitFor('the new certificate is shown', async () => {
      const answer = await ask(2, '/nodes', READ_TOKEN);
      return answer.serial !== serial;
    });
  });

  it('keep tokens and keys out of the logs', () => {
    const logs = processes.flatMap(item => item.stderrLines).join('\n');
    const key = readFileSync(path('peers.key'), 'utf8');
    expect(logs).not.toContain(WRITE_TOKEN);
    expect(logs).not.toContain(key.split('\n')[1]);
  });

  it('are demanded beyond loopback', () => {
    const file = path('open.json');
    const settings = settingsOf(5, 'peers') as Record<string, object>;
    const open = {host: '10.0.0.1', port: 7080};
    const text = JSON.stringify({...settings, caller: open, operator: open});
    writeFileSync(file, text);
    try {
      execFileSync(
        process.execPath,
        [script('daemon'), '--settings', file, '--check'],
        {stdio: 'pipe'},
      );
      throw new HarnessError('open settings were accepted');
    } catch (e) {
      const {stderr} = e as {stderr?: Buffer};
      expect(String(stderr)).toContain('caller.tls');
      expect(String(stderr)).toContain('operator.tokens');
    }
  });
});
