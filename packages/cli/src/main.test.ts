import {Fleet, smallFleetPlan} from '@fescuespool/bench';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {EXIT_CODE} from './constants.js';

interface Run {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const require = createRequire(import.meta.url);

function runScript(script: string, args: readonly string[]): Promise<Run> {
  return new Promise(resolve => {
    execFile(process.execPath, [script, ...args], (error, stdout, stderr) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      resolve({code, stdout, stderr});
    });
  });
}

describe('fescuespool', () => {
  let fleet: Fleet;
  const folder = mkdtempSync(join(tmpdir(), 'fescuespool-cli-'));
  const script = join(dirname(require.resolve('@fescuespool/cli')), 'main.js');
  const file = (name: string, value: unknown): string => {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(value));
    return path;
  };
  const tool = (...args: string[]): Promise<Run> =>
    runScript(script, [...args, '--url', fleet.daemon('entry-1').operatorUrl]);

  beforeAll(async () => {
    fleet = await Fleet.start(smallFleetPlan({daemons: 2}));
  });
  afterAll(async () => {
    await fleet.close();
    rmSync(folder, {recursive: true});
  });

  describe('config', () => {
    it('patches a version once and tells the conflict afterwards', async () => {
      const change = file('change.json', {limits: {maxOpenRequests: 99}});
      const first = await tool('config', 'patch', '--base', '1', change);
      expect(first.code).toBe(EXIT_CODE.OK);
      const second = await tool('config', 'patch', '--base', '1', change);
      expect(second.code).toBe(EXIT_CODE.CONFLICT);
      expect(second.stderr).toContain('config get');
      const limits = await tool('config', 'get', 'limits');
      expect(JSON.parse(limits.stdout)).toMatchObject({maxOpenRequests: 99});
      const history = await tool('config', 'history', '--json');
      const {versions} = JSON.parse(history.stdout) as {versions: unknown[]};
      expect(versions.length).toBe(2);
    });

    it('names every fault of an invalid patch', async () => {
      const bad = file('bad.json', {
        services: {assist: {kind: 'mail'}},
        limits: {maxOpenRequests: 0},
      });
      const run = await tool('config', 'patch', '--base', '2', bad);
      expect(run.code).toBe(EXIT_CODE.INVALID);
      expect(run.stderr).toContain('services.assist.kind');
      expect(run.stderr).toContain('limits.maxOpenRequests');
    });
  });

  describe('status', () => {
    it.each([['nodes'], ['cells'], ['upstreams'], ['stats']])(
      'prints %s for people and for programs',
      async name => {
        const table = await tool(name);
        const json = await tool(name, '--json');
        expect([table.code, json.code]).toEqual([0, 0]);
        expect(() => JSON.parse(json.stdout) as unknown).not.toThrow();
      },
    );

    it('tells what to do when no daemon answers', async () => {
      const run = await runScript(script, [
        'nodes',
        '--url',
        'http://127.0.0.1:9',
      ]);
      expect(run.code).toBe(EXIT_CODE.UNREACHABLE);
      expect(run.stderr).toContain('--url');
    });
  });

  describe('settings of the daemon', () => {
    it('report all faults together', async () => {
      const settings = file('settings.json', {
        memberId: 'entry-1',
        caller: {port: 70_000},
        operator: {port: 7_081},
        peer: {port: 'x'},
        platform: {url: 'http://127.0.0.1:1'},
      });
      const daemon = join(
        dirname(require.resolve('@fescuespool/daemon')),
        'main.js',
      );
      const run = await runScript(daemon, ['--settings', settings, '--check']);
      expect(run.code).toBe(2);
      for (const place of ['zone', 'caller.port', 'peer.port']) {
        expect(run.stderr).toContain(place);
      }
    });
  });
});
