import {Fleet, smallFleetPlan} from '@fescuespool/bench';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {EXIT_CODE} from './constants.js';

interface ToolResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const require = createRequire(import.meta.url);

function runScript(
  script: string,
  args: readonly string[],
): Promise<ToolResult> {
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
  const writeJsonFile = (name: string, value: unknown): string => {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(value));
    return path;
  };
  const runTool = (...args: string[]): Promise<ToolResult> =>
    runScript(script, [...args, '--url', fleet.daemon('entry-1').operatorUrl]);

  beforeAll(async () => {
    fleet = await Fleet.start(smallFleetPlan({daemons: 2}));
  });
  afterAll(async () => {
    await fleet.close();
    rmSync(folder, {recursive: true});
  });

  describe('config', () => {
    it('accepts one patch per base version and reports a conflict afterwards', async () => {
      const change = writeJsonFile('change.json', {
        limits: {maxOpenRequests: 99},
      });
      const first = await runTool('config', 'patch', '--base', '1', change);
      expect(first.code).toBe(EXIT_CODE.OK);
      const second = await runTool('config', 'patch', '--base', '1', change);
      expect(second.code).toBe(EXIT_CODE.CONFLICT);
      expect(second.stderr).toContain('config get');
      const limits = await runTool('config', 'get', 'limits');
      expect(JSON.parse(limits.stdout)).toMatchObject({maxOpenRequests: 99});
      const history = await runTool('config', 'history', '--json');
      const {versions} = JSON.parse(history.stdout) as {versions: unknown[]};
      expect(versions.length).toBe(2);
    });

    it('reports every error of an invalid patch', async () => {
      const bad = writeJsonFile('bad.json', {
        services: {assist: {kind: 'mail'}},
        limits: {maxOpenRequests: 0},
      });
      const run = await runTool('config', 'patch', '--base', '2', bad);
      expect(run.code).toBe(EXIT_CODE.INVALID);
      expect(run.stderr).toContain('services.assist.kind');
      expect(run.stderr).toContain('limits.maxOpenRequests');
    });
  });

  describe('status', () => {
    it.each([['nodes'], ['cells'], ['upstreams'], ['stats']])(
      'prints %s as a table and as JSON',
      async name => {
        const table = await runTool(name);
        const json = await runTool(name, '--json');
        expect([table.code, json.code]).toEqual([0, 0]);
        expect(() => JSON.parse(json.stdout) as unknown).not.toThrow();
      },
    );

    it('prints a hint when no daemon responds', async () => {
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
    it('report all errors together', async () => {
      const settings = writeJsonFile('settings.json', {
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
