#!/usr/bin/env node
import {createLogger, createMetrics, formatFinding} from '@fescuespool/common';
import {Builtins, Cli, Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {EXIT_CODE} from './constants.js';
import {Daemon} from './daemon.js';
import type {Settings} from './settings.js';
import {parseSettings} from './settings.js';

const VERSION = '0.1.0';

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'run the fescuespool daemon',
    details: `
      SIGTERM and SIGINT start a graceful shutdown; a second one ends the
      daemon at once. Exit codes: 0 ended, 1 failed to start, 2 bad settings.
    `,
    examples: [
      ['Run with settings', '$0 --settings /etc/fescuespool/settings.json'],
      ['Check settings only', '$0 --settings settings.json --check'],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'file with the settings in JSON',
  });
  check = Option.Boolean('--check', false, {
    description: 'check the settings and exit',
  });

  async execute(): Promise<number> {
    const settings = this.readSettings();
    if (!settings) return EXIT_CODE.BAD_SETTINGS;
    if (this.check) {
      this.context.stdout.write('settings are valid\n');
      return EXIT_CODE.OK;
    }
    return runDaemon(settings, this.context.stdout);
  }

  private readSettings(): Settings | null {
    let text: string;
    try {
      text = readFileSync(this.settings, 'utf8');
    } catch (e) {
      this.context.stderr.write(`${String(e)}\n`);
      return null;
    }
    const parsed = parseSettings(text);
    if (parsed.isOk()) return parsed.value;
    const {findings} = parsed.error;
    const count = `${findings.length} fault(s) in ${this.settings}`;
    const lines = findings.map(finding => `  ${formatFinding(finding)}`);
    this.context.stderr.write(`${count}:\n${lines.join('\n')}\n`);
    return null;
  }
}

async function runDaemon(
  settings: Settings,
  stdout: NodeJS.WritableStream,
): Promise<number> {
  const log = createLogger('fescuespoold', settings.logLevel);
  const daemon = new Daemon(settings, log, createMetrics(settings.metrics));
  let signals = 0;
  const stop = (): void => {
    signals++;
    if (signals === 1) void daemon.shutdown();
    else daemon.close();
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('unhandledRejection', reason => {
    log.error('unhandled_rejection', {err: String(reason)});
  });
  try {
    const ports = await daemon.start();
    stdout.write(`ready ${JSON.stringify(ports)}\n`);
  } catch (e) {
    log.error('start_failed', {err: String(e)});
    daemon.close();
    return EXIT_CODE.FAILED;
  }
  await daemon.waitUntilClosed();
  return EXIT_CODE.OK;
}

const cli = new Cli({
  binaryLabel: 'fescuespoold',
  binaryName: 'fescuespoold',
  binaryVersion: VERSION,
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
const code = await cli.run(process.argv.slice(2), Cli.defaultContext);
process.exit(code);
