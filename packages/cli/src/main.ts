#!/usr/bin/env node
import {Builtins, Cli} from 'clipanion';
import {
  ConfigDiffCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigPatchCommand,
  ConfigValidateCommand,
} from './config_commands.js';
import {ExplainCommand} from './explain_command.js';
import {
  CellsCommand,
  DrainCommand,
  NodesCommand,
  StatsCommand,
  TraceCommand,
  UpstreamsCommand,
} from './status_commands.js';
import {WhereCommand} from './where_command.js';

const cli = new Cli({
  binaryLabel: 'fescuespool',
  binaryName: 'fescuespool',
  binaryVersion: '0.1.0',
});
for (const command of [
  ConfigGetCommand,
  ConfigPatchCommand,
  ConfigHistoryCommand,
  ConfigDiffCommand,
  ConfigValidateCommand,
  NodesCommand,
  CellsCommand,
  UpstreamsCommand,
  StatsCommand,
  TraceCommand,
  DrainCommand,
  ExplainCommand,
  WhereCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
]) {
  cli.register(command);
}
const args = process.argv.slice(2);
const effectiveArgs = args.length > 0 ? args : ['--help'];
process.exitCode = await cli.run(effectiveArgs, Cli.defaultContext);
