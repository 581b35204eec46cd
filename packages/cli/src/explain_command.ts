import Table from 'cli-table3';
import {Command, Option} from 'clipanion';
import {readFileSync} from 'node:fs';
import {EXIT_CODE} from './constants.js';
import type {ParsedLogLine} from './request_story.js';
import {parseLogLine, explainRequest} from './request_story.js';

/** Puts the log lines of one request in order and says what happened. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Logs',
    description: 'say from logs what became of a request',
    details: 'Without files the logs are read from standard input.',
    examples: [['From the logs of two VMs', '$0 explain 3f2a… a.log b.log']],
  });

  requestId = Option.String({required: true, name: 'requestId'});
  files = Option.Rest({name: 'file'});
  json = Option.Boolean('--json', false, {description: 'print JSON'});

  async execute(): Promise<number> {
    const lines: ParsedLogLine[] = [];
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
        if (parsed) lines.push(parsed);
      }
    }
    const story = explainRequest(this.requestId, lines);
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(story)}\n`);
    } else {
      const table = new Table({head: ['time', 'log', 'event', 'fields']});
      for (const {time, source, event, fields} of story.lines) {
        const pairs = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
        table.push([time, source, event, pairs.join(' ')]);
      }
      this.context.stdout.write(`${table.toString()}\n${story.summary}\n`);
    }
    return story.lines.length > 0 ? EXIT_CODE.OK : EXIT_CODE.NOT_FOUND;
  }
}
