import {newId, parseJson} from '@fescuespool/common';
import {checkConfig, PATCH_FORMAT} from '@fescuespool/state';
import {Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {BaseCommand} from './base_command.js';
import {EXIT_CODE} from './constants.js';
import {CliError} from './errors.js';
import {diffValues} from './value_diff.js';

const CATEGORY = 'Configuration';
const STDIN_FD = 0;

function readJsonFile(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file === '-' ? STDIN_FD : file, 'utf8');
  } catch (e) {
    throw new CliError(EXIT_CODE.USAGE, `${file}: ${String(e)}`);
  }
  const parsed = parseJson(file, text);
  if (parsed.isErr()) {
    throw new CliError(EXIT_CODE.USAGE, parsed.error.message);
  }
  return parsed.value;
}

/** Prints the active configuration or one part of it. */
export class ConfigGetCommand extends BaseCommand {
  static override paths = [['config', 'get']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the active configuration and its version',
    examples: [
      ['The whole configuration', '$0 config get'],
      ['One part', '$0 config get services.assist'],
    ],
  });

  place = Option.String({required: false, name: 'place'});

  async run(): Promise<void> {
    const body = await this.call('GET', '/config');
    if (!this.place) {
      this.printJson(body);
      return;
    }
    let value: unknown = body['config'];
    for (const key of this.place.split('.')) {
      value = (value as Record<string, unknown> | undefined)?.[key];
    }
    if (value === undefined) {
      throw new CliError(
        EXIT_CODE.NOT_FOUND,
        `the configuration has no ${this.place}`,
      );
    }
    this.printJson(value);
  }
}

/** Submits a patch that applies to one numbered version. */
export class ConfigPatchCommand extends BaseCommand {
  static override paths = [['config', 'patch']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'submit a patch against a numbered version',
    details: `
      The patch is a JSON Merge Patch, or a JSON Patch with \`--format json\`.
      It is accepted only if the base version is still the active one. Exit
      codes: 3 the base version was replaced, 4 the patch is not valid, 5 it is
      unknown whether the patch was accepted: send it again with the same
      \`--patch-id\`.
    `,
    examples: [
      ['From a file', '$0 config patch --base 7 change.json'],
      ['From standard input', '$0 config patch --base 7 -'],
    ],
  });

  file = Option.String({required: true, name: 'file'});
  base = Option.String('--base', {
    required: true,
    description: 'version that the patch applies to',
  });
  format = Option.String('--format', 'merge', {
    description: 'merge (JSON Merge Patch) or json (JSON Patch)',
  });
  patchId = Option.String('--patch-id', {
    description: 'identifier by which a repeated patch is recognized',
  });
  author = Option.String('--author', process.env['USER'] ?? 'operator', {
    description: 'author shown in the history',
  });

  async run(): Promise<void> {
    const baseVersion = Number(this.base);
    if (!Number.isInteger(baseVersion) || baseVersion < 0) {
      throw new CliError(
        EXIT_CODE.USAGE,
        '--base must be a version number, 0 or higher',
      );
    }
    const formats: Record<string, string> = {
      merge: PATCH_FORMAT.MERGE,
      json: PATCH_FORMAT.JSON,
    };
    const format = formats[this.format];
    if (!format) {
      throw new CliError(EXIT_CODE.USAGE, '--format must be merge or json');
    }
    const patchId = this.patchId ?? newId();
    const patch = readJsonFile(this.file);
    const {author} = this;
    // Printed before the call: if its outcome is unknown, the user can repeat it.
    this.context.stderr.write(`patch-id ${patchId}\n`);
    const request = {baseVersion, format, patchId, patch, author};
    const body = await this.call('POST', '/config/patch', request);
    this.print(body, () => ({
      head: ['version', 'patch id'],
      rows: [[body['version'], body['patchId']]],
    }));
  }
}

/** Prints the most recently accepted versions. */
export class ConfigHistoryCommand extends BaseCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the most recently accepted versions',
  });

  async run(): Promise<void> {
    const body = await this.call('GET', '/config/history');
    const versions = body['versions'] as Array<Record<string, unknown>>;
    this.print(body, () => ({
      head: ['version', 'accepted at', 'author', 'patch id'],
      rows: versions.map(entry => [
        entry['version'],
        entry['acceptedAt'],
        entry['author'],
        entry['patchId'],
      ]),
    }));
  }
}

/** Compares the active configuration with a file. */
export class ConfigDiffCommand extends BaseCommand {
  static override paths = [['config', 'diff']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'compare the active configuration with a file',
    examples: [['What would change', '$0 config diff wanted.json']],
  });

  file = Option.String({required: true, name: 'file'});

  async run(): Promise<void> {
    const wanted = checkConfig(readJsonFile(this.file));
    if (wanted.isErr()) {
      throw new CliError(EXIT_CODE.INVALID, wanted.error.message);
    }
    const body = await this.call('GET', '/config');
    const changes = diffValues(body['config'], wanted.value);
    this.print(changes, () => ({
      head: ['place', 'active', 'in the file'],
      rows: changes.map(({place, before, after}) => [
        place,
        JSON.stringify(before),
        JSON.stringify(after),
      ]),
    }));
  }
}

/** Validates a configuration file locally, without a daemon. */
export class ConfigValidateCommand extends BaseCommand {
  static override paths = [['config', 'validate']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'validate a configuration file without a daemon',
    examples: [['Check a file', '$0 config validate wanted.json']],
  });

  file = Option.String({required: true, name: 'file'});

  async run(): Promise<void> {
    const checked = checkConfig(readJsonFile(this.file));
    const findings = checked.isErr() ? checked.error.findings : [];
    this.print({valid: checked.isOk(), findings}, () => ({
      head: ['place', 'finding'],
      rows: findings.map(({place, message}) => [place, message]),
    }));
    if (checked.isErr()) {
      const message = `${findings.length} error(s)`;
      throw new CliError(EXIT_CODE.INVALID, message);
    }
  }
}
