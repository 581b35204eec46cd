import Table from 'cli-table3';
import {Command, Option} from 'clipanion';
import {DEFAULT_URL, ENV} from './constants.js';
import {CliError} from './errors.js';
import {callOperator, expectSuccess} from './operator_client.js';
import type {OperatorResponse, TableData as TableData} from './types.js';

/** Options and output that all commands share. */
export abstract class BaseCommand extends Command {
  url = Option.String('--url', {
    description: `operator port of a daemon (or ${ENV.URL})`,
  });
  token = Option.String('--token', {
    description: `operator token (or ${ENV.TOKEN})`,
  });
  ca = Option.String('--ca', {
    description: "file with the authority of the daemon's certificate",
  });
  json = Option.Boolean('--json', false, {
    description: 'print JSON for programs',
  });

  /** Work of the command; throws a CliError. */
  abstract run(): Promise<void>;

  /** Runs the command and maps its failure to an exit code. */
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

  /** Calls the daemon and expects a success. */
  protected async call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<OperatorResponse['body']> {
    const target = {
      url: this.url ?? process.env[ENV.URL] ?? DEFAULT_URL,
      token: this.token ?? process.env[ENV.TOKEN] ?? null,
      caFile: this.ca ?? null,
    };
    const answer = await callOperator(target, method, path, body);
    return expectSuccess(answer).body;
  }

  /** Prints JSON, or a table for people. */
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

  /** Prints JSON. */
  protected printJson(body: unknown): void {
    this.context.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
  }
}
