import {Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {BaseCommand} from './base_command.js';
import {EXIT_CODE, GATEWAY_METRICS_URL} from './constants.js';
import {CliError} from './errors.js';
import {parseParts, parseTokens} from './request_options.js';
import type {WherePreview} from './where_report.js';
import {
  describeService,
  describeUpstream,
  UPSTREAM_HEAD,
} from './where_report.js';

/** Tells where a request would go now, and why, without sending it. */
export class WhereCommand extends BaseCommand {
  static override paths = [['where']];
  static override usage = Command.Usage({
    category: 'Gateway',
    description:
      'tell where a request would go now, and why, without sending it',
    details: `
      Asks the gateway whose metrics port is at --url, which asks the owner of the
      service's queue. Nothing is queued, charged or logged.
    `,
    examples: [
      [
        'For a client account, with a prompt of 1,460 tokens',
        '$0 where svc.example /chat/ --account importer --tokens 1460,80',
      ],
      [
        'By a key from standard input',
        '$0 where svc.example /chat/ --key-file - < key',
      ],
    ],
  });

  host = Option.String({required: true, name: 'host'});
  requestPath = Option.String({required: true, name: 'path'});
  account = Option.String('--account', {
    description: 'name of the client account',
  });
  keyFile = Option.String('--key-file', {
    description: 'file with the API key in place of the account; - for stdin',
  });
  tokens = Option.String('--tokens', {
    description: 'tokens of the prompt and, after a comma, of the output',
  });
  prefix = Option.String('--prefix', {
    description: 'parts of the prompt in order, as ID:TOKENS,ID:TOKENS',
  });

  protected override readonly defaultUrl = GATEWAY_METRICS_URL;

  async run(): Promise<void> {
    const body = await this.call('POST', '/where', {
      host: this.host,
      path: this.requestPath,
      account: this.account ?? null,
      key: this.readKey(),
      ...parseTokens(this.tokens),
      promptParts: parseParts(this.prefix),
    });
    if (this.json) {
      this.printJson(body);
      return;
    }
    const preview = body as unknown as WherePreview;
    for (const service of preview.services) {
      this.context.stdout.write(describeService(preview, service));
      const upstreams = service.queue?.upstreams ?? [];
      if (upstreams.length === 0) continue;
      const rows = upstreams.map(describeUpstream);
      this.print(body, () => ({head: UPSTREAM_HEAD, rows}));
    }
  }

  private readKey(): string | null {
    if (this.keyFile === undefined) return null;
    try {
      const source = this.keyFile === '-' ? 0 : this.keyFile;
      return readFileSync(source, 'utf8').trim();
    } catch (e) {
      throw new CliError(EXIT_CODE.USAGE, String(e));
    }
  }
}
