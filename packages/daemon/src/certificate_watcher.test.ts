import {
  FLEET_PORT,
  FleetProcess,
  HarnessError,
  waitUntil,
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

interface OperatorResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly serial: string;
}

describe('TLS and operator tokens', () => {
  const folder = mkdtempSync(join(tmpdir(), 'fescuespool-tls-'));
  const processes: FleetProcess[] = [];
  const scriptPath = (name: string): string =>
    join(dirname(require.resolve(`@fescuespool/${name}`)), 'main.js');
  const path = (name: string): string => join(folder, name);

  const writeKeyPair = (name: string): void => {
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
    processes.push(await FleetProcess.start(scriptPath('daemon'), args));
  };
  const callOperator = (
    index: number,
    route: string,
    token?: string,
    body?: unknown,
  ): Promise<OperatorResponse> =>
    new Promise((resolve, reject) => {
      const req = https.request(
        `https://${NETWORK}.${index}:${FLEET_PORT.OPERATOR}${route}`,
        {
          method: body === undefined ? 'GET' : 'POST',
          agent: false,
          // The certificate is self-signed, and its name isn't the address.
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
  const reachableIds = async (index: number): Promise<string[]> => {
    const {body} = await callOperator(index, '/nodes', READ_TOKEN);
    const nodes = body['nodes'] as Array<{id: string; reachable: boolean}>;
    return nodes.filter(node => node.reachable).map(node => node.id);
  };

  beforeAll(async () => {
    for (const name of ['public', 'peers', 'stranger']) writeKeyPair(name);
    const platform = JSON.stringify({
      host: `${NETWORK}.1`,
      port: FLEET_PORT.PLATFORM,
    });
    const args = ['platform', platform];
    processes.push(await FleetProcess.start(scriptPath('stand-ins'), args));
    await startDaemon(2, 'peers');
    await startDaemon(3, 'peers');
  });
  afterAll(async () => {
    await Promise.all(processes.map(item => item.kill()));
    rmSync(folder, {recursive: true});
  });

  it('let daemons with a trusted certificate connect', async () => {
    await waitUntil('entry-2 reaches entry-3', async () =>
      (await reachableIds(2)).includes('entry-3'),
    );
  });

  it('reject a daemon with an untrusted certificate', async () => {
    await startDaemon(4, 'stranger');
    await waitUntil('entry-4 reports its seed as dead', async () => {
      const {body} = await callOperator(4, '/nodes', READ_TOKEN);
      const nodes = body['nodes'] as Array<{id: string; state: string}>;
      return nodes.some(n => n.id === 'entry-2' && n.state === 'dead');
    });
    expect(await reachableIds(2)).not.toContain('entry-4');
  });

  it('require a token of the right scope', async () => {
    const patch = {baseVersion: 0, patch: {}};
    expect((await callOperator(2, '/nodes')).status).toBe(401);
    expect((await callOperator(2, '/nodes', 'wrong')).status).toBe(401);
    expect(
      (await callOperator(2, '/config/patch', READ_TOKEN, patch)).status,
    ).toBe(401);
    expect(
      (await callOperator(2, '/config/patch', WRITE_TOKEN, patch)).status,
    ).toBe(422);
  });

  it('load a replaced certificate without a restart', async () => {
    const {serial} = await callOperator(2, '/nodes', READ_TOKEN);
    writeKeyPair('public');
    await waitUntil('the new certificate is served', async () => {
      const response = await callOperator(2, '/nodes', READ_TOKEN);
      return response.serial !== serial;
    });
  });

  it('keep tokens and keys out of the logs', () => {
    const logs = processes.flatMap(item => item.stderrLines).join('\n');
    const key = readFileSync(path('peers.key'), 'utf8');
    expect(logs).not.toContain(WRITE_TOKEN);
    expect(logs).not.toContain(key.split('\n')[1]);
  });

  it('are required on addresses other than loopback', () => {
    const file = path('open.json');
    const settings = settingsOf(5, 'peers') as Record<string, object>;
    const insecure = {host: '10.0.0.1', port: 7080};
    const text = JSON.stringify({
      ...settings,
      caller: insecure,
      operator: insecure,
    });
    writeFileSync(file, text);
    try {
      execFileSync(
        process.execPath,
        [scriptPath('daemon'), '--settings', file, '--check'],
        {stdio: 'pipe'},
      );
      throw new HarnessError('insecure settings were accepted');
    } catch (e) {
      const {stderr} = e as {stderr?: Buffer};
      expect(String(stderr)).toContain('caller.tls');
      expect(String(stderr)).toContain('operator.tokens');
    }
  });
});
