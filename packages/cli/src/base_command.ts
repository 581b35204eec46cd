import Table from 'cli-table3';
import {Command, Option} from 'clipanion';
import {DEFAULT_URL, ENV} from './constants.js';
import {CliError} from './errors.js';
import {callOperator, expectSuccess} from './operator_client.js';
import type {OperatorResponse, TableData} from './types.js';

/** Connection options and output shared by commands that call a daemon. */
export abstract class BaseCommand extends Command {
  url = Option.String('--url', {
    description: `URL of a daemon's operator port, or of a gateway's metrics port (or ${ENV.URL})`,
  });
  token = Option.String('--token', {
    description: `operator token (or ${ENV.TOKEN})`,
  });
  ca = Option.String('--ca', {
    description: "PEM file with the CA of the daemon's certificate",
  });
  json = Option.Boolean('--json', false, {
    description: 'print JSON instead of a table',
  });

  /** URL that is called where none is given. */
  protected readonly defaultUrl: string = DEFAULT_URL;

  /** Runs the command; throws a CliError on failure. */
  abstract run(): Promise<void>;

  /** Calls `run` and maps a CliError to its exit code. */
  async execute(): Promise<number> {
    try {
      await this.run();
      return 0;
    } catch (e) {
      if (!(e instanceof CliError)) throw e;
      this.context.stderr.write(`${e.message}\n`);
      return e.exitCode;
    }
  }

  /** Calls the daemon; throws a CliError unless the call succeeds. */
  protected async call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<OperatorResponse['body']> {
    const target = {
      url: this.url ?? process.env[ENV.URL] ?? this.defaultUrl,
      token: this.token ?? process.env[ENV.TOKEN] ?? null,
      caFile: this.ca ?? null,
    };
    const response = await callOperator(target, method, path, body);
    return expectSuccess(response).body;
  }

  /** Prints a table, or the body as JSON with `--json`. */
  protected print(body: unknown, table: () => TableData): void {
    if (this.json) {
      this.printJson(body);
      return;
    }
    const {head, rows} = table();
    const output = new Table({
      head: [...head],
      style: {head: [], border: [], compact: true},
    });
    for (const row of rows) output.push(row.map(value => String(value ?? '')));
    this.context.stdout.write(`${output.toString()}\n`);
  }

  /** Prints a value as indented JSON. */
  protected printJson(body: unknown): void {
    this.context.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
  }
}
