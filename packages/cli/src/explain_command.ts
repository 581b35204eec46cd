import Table from 'cli-table3';
import {Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {EXIT_CODE} from './constants.js';
import type {ParsedLogLine} from './request_explanation.js';
import {explainRequest, parseLogLine} from './request_explanation.js';

/** Prints the log lines of one request by time and explains its outcome. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Logs',
    description: 'explain from log files what happened to a request',
    details: 'Without files, the logs are read from standard input.',
    examples: [['From the logs of two VMs', '$0 explain 3f2a… a.log b.log']],
  });

  requestId = Option.String({required: true, name: 'requestId'});
  files = Option.Rest({name: 'file'});
  json = Option.Boolean('--json', false, {
    description: 'print JSON instead of a table',
  });

  async execute(): Promise<number> {
    const logLines: ParsedLogLine[] = [];
    const sources = this.files.length > 0 ? this.files : ['-'];
    for (const source of sources) {
      let text: string;
      try {
        text = readFileSync(source === '-' ? 0 : source, 'utf8');
      } catch (e) {
        this.context.stderr.write(`${String(e)}\n`);
        return EXIT_CODE.USAGE;
      }
      for (const line of text.split('\n')) {
        const parsed = parseLogLine(source, line);
        if (parsed) logLines.push(parsed);
      }
    }
    const explanation = explainRequest(this.requestId, logLines);
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(explanation)}\n`);
    } else {
      const table = new Table({head: ['time', 'log', 'event', 'fields']});
      for (const {time, source, event, fields} of explanation.lines) {
        const pairs = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
        table.push([time, source, event, pairs.join(' ')]);
      }
      this.context.stdout.write(
        `${table.toString()}\n${explanation.summary}\n`,
      );
    }
    return explanation.lines.length > 0 ? EXIT_CODE.OK : EXIT_CODE.NOT_FOUND;
  }
}
