import {newId, parseJson} from '@fescuespool/common';
import {checkConfig, PATCH_FORMAT} from '@fescuespool/state';
import {Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {BaseCommand} from './base_command.js';
import {EXIT_CODE} from './constants.js';
import {CliError} from './errors.js';
import {diffValues} from './value_diff.js';

const CATEGORY = 'Configuration';
const STANDARD_INPUT = 0;

function readJsonFile(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
  } catch (e) {
    throw new CliError(EXIT_CODE.USAGE, `${file}: ${String(e)}`);
  }
  const parsed = parseJson(file, text);
  if (parsed.isErr()) {
    throw new CliError(EXIT_CODE.USAGE, parsed.error.message);
  }
  return parsed.value;
}

/** Prints the configuration in force. */
export class ConfigGetCommand extends BaseCommand {
  static override paths = [['config', 'get']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the configuration in force and its version',
    examples: [
      ['All of it', '$0 config get'],
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
      throw new CliError(EXIT_CODE.NOT_FOUND, `there is no ${this.place}`);
    }
    this.printJson(value);
  }
}

/** Submits a patch against a version. */
export class ConfigPatchCommand extends BaseCommand {
  static override paths = [['config', 'patch']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'submit a patch against a numbered version',
    details: `
      The patch is a JSON Merge Patch, or a JSON Patch with \`--format json\`.
      It is accepted only if the version is still the one in force. Exit codes:
      3 the version was replaced, 4 the patch is not valid, 5 it is not known
      whether it was accepted: send it again with the same \`--patch-id\`.
    `,
    examples: [
      ['From a file', '$0 config patch --base 7 change.json'],
      ['From standard input', '$0 config patch --base 7 -'],
    ],
  });

  file = Option.String({required: true, name: 'file'});
  base = Option.String('--base', {
    required: true,
    description: 'version that the patch is made against',
  });
  format = Option.String('--format', 'merge', {
    description: 'merge (JSON Merge Patch) or json (JSON Patch)',
  });
  patchId = Option.String('--patch-id', {
    description: 'identifier under which a repeated patch is recognised',
  });
  author = Option.String('--author', process.env['USER'] ?? 'operator', {
    description: 'name in the history',
  });

  async run(): Promise<void> {
    const baseVersion = Number(this.base);
    if (!Number.isInteger(baseVersion) || baseVersion < 0) {
      throw new CliError(EXIT_CODE.USAGE, '--base must be a version number');
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
    // Told before the call, so that an unclear patch can be sent again.
    this.context.stderr.write(`patch-id ${patchId}\n`);
    const request = {baseVersion, format, patchId, patch, author};
    const body = await this.call('POST', '/config/patch', request);
    this.print(body, () => ({
      head: ['version', 'patch id'],
      rows: [[body['version'], body['patchId']]],
    }));
  }
}

/** Prints the last accepted versions. */
export class ConfigHistoryCommand extends BaseCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the last accepted versions',
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

/** Compares the configuration in force with a file. */
export class ConfigDiffCommand extends BaseCommand {
  static override paths = [['config', 'diff']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'compare the configuration in force with a file',
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
      head: ['place', 'in force', 'in the file'],
      rows: changes.map(({place, before, after}) => [
        place,
        JSON.stringify(before),
        JSON.stringify(after),
      ]),
    }));
  }
}

/** Checks a configuration file without a daemon. */
export class ConfigValidateCommand extends BaseCommand {
  static override paths = [['config', 'validate']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'check a configuration file; needs no daemon',
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
      const message = `${findings.length} fault(s)`;
      throw new CliError(EXIT_CODE.INVALID, message);
    }
  }
}
