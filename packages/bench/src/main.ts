#!/usr/bin/env node
import {
  checkAgainstSchema,
  formatFinding,
  parseJson,
} from '@fescuespool/common';
import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import {Builtins, Cli, Command, Option} from 'clipanion';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import PQueue from 'p-queue';
import {findBoundBreaches} from './bounds.js';
import {findChunkRateBreaches, measureChunkRates} from './chunk_rates.js';
import {runExperiment} from './experiment.js';
import type {Experiment, RunFigures} from './experiment_types.js';
import {EXPERIMENT_SCHEMA} from './experiment_types.js';
import {EXPERIMENTS, SIX_ENGINES} from './experiments.js';
import {renderHtml, renderMarkdown} from './report.js';

function formatRun(run: RunFigures): string {
  const tiers = run.tiers.map(tier => tier.goodput.toFixed(2)).join(' ');
  const [top] = run.tiers;
  return [
    `load ${run.load} ${run.policy}: goodput ${run.goodput.toFixed(3)}`,
    `(${tiers})`,
    `upper bound ${run.upperBound.toFixed(2)}`,
    `prefill ratio ${run.prefillRatio.toFixed(2)}`,
    `top-tier p95: first token ${top?.firstTokenP95Ms} ms`,
    `token interval ${top?.tokenIntervalP95Ms} ms`,
    ...run.tiers.map(
      ({tier, late, ends}) =>
        `\n    ${tier}: late ${late}, ${JSON.stringify(ends)}`,
    ),
  ].join(', ');
}

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'compare placement policies under load and faults',
    details: `
      Runs real daemons and stand-ins on loopback, each policy on the same
      arrivals. Exits with 1 when a bound is breached.
    `,
    examples: [
      ['Run the default experiment', '$0'],
      ['One load, two policies', '$0 --load 1.5 --policy priced,queue_head'],
      ['An experiment of your own', '$0 --experiment my.json'],
    ],
  });

  experiment = Option.String('--experiment', SIX_ENGINES.name, {
    description: 'name of a built-in experiment or a JSON file',
  });
  load = Option.String('--load', {description: 'loads, separated by commas'});
  policy = Option.String('--policy', {
    description: 'policies, separated by commas',
  });
  seed = Option.String('--seed', {description: 'seed of the arrivals'});
  parallel = Option.String('--parallel', '3', {
    description: 'number of runs at the same time',
  });
  out = Option.String('--out', 'results', {description: 'folder of reports'});

  async execute(): Promise<number> {
    const experiment = this.readExperiment();
    if (!experiment) return 2;
    const {stdout} = this.context;
    stdout.write(`experiment ${experiment.name} seed ${experiment.seed}\n`);
    const figures = await this.runAll(experiment);
    this.writeReports(experiment, figures);
    const breaches = findBoundBreaches(experiment, figures);
    for (const breach of breaches) stdout.write(`BREACH ${breach}\n`);
    stdout.write(`${breaches.length} breach(es)\n`);
    return breaches.length > 0 ? 1 : 0;
  }

  /** Runs every policy at every load, `--parallel` runs at the same time. */
  private async runAll(experiment: Experiment): Promise<RunFigures[]> {
    const queue = new PQueue({concurrency: Number(this.parallel)});
    const runs = experiment.loads.flatMap(load =>
      experiment.policies.map(policy =>
        queue.add(async () => {
          const run = await runExperiment(experiment, policy, load);
          this.context.stdout.write(`${formatRun(run)}\n`);
          return run;
        }),
      ),
    );
    return Promise.all(runs);
  }

  private readExperiment(): Experiment | null {
    const builtIn = EXPERIMENTS[this.experiment];
    const parsed = builtIn
      ? checkAgainstSchema('experiment', EXPERIMENT_SCHEMA, builtIn)
      : parseJson('experiment', readFileSync(this.experiment, 'utf8')).andThen(
          value => checkAgainstSchema('experiment', EXPERIMENT_SCHEMA, value),
        );
    if (parsed.isErr()) {
      const lines = parsed.error.findings.map(formatFinding);
      this.context.stderr.write(`${lines.join('\n')}\n`);
      return null;
    }
    const names = this.policy?.split(',') ?? [];
    const selectedPolicies = Object.values(PLACEMENT_POLICY).filter(name =>
      names.includes(name),
    );
    return {
      ...parsed.value,
      ...(this.load ? {loads: this.load.split(',').map(Number)} : {}),
      ...(selectedPolicies.length > 0 ? {policies: selectedPolicies} : {}),
      ...(this.seed ? {seed: Number(this.seed)} : {}),
    };
  }

  private writeReports(experiment: Experiment, figures: RunFigures[]): void {
    mkdirSync(this.out, {recursive: true});
    const basePath = join(this.out, experiment.name);
    const result = {experiment, figures};
    writeFileSync(`${basePath}.json`, `${JSON.stringify(result, null, 2)}\n`);
    writeFileSync(`${basePath}.md`, renderMarkdown(experiment, figures));
    writeFileSync(`${basePath}.html`, renderHtml(experiment, figures));
  }
}

class ChunksCommand extends Command {
  static override paths = [['chunks']];
  static override usage = Command.Usage({
    description: 'measure streams by the size of their chunks',
    details: `
      Prints the bytes a second of each chunk size. Exits with 1 when one is
      below a tenth of the highest.
    `,
  });

  execute(): Promise<number> {
    const {stdout} = this.context;
    const rates = measureChunkRates();
    for (const {chunkBytes, bytesPerS} of rates) {
      stdout.write(`chunks of ${chunkBytes}: ${Math.round(bytesPerS)} B/s\n`);
    }
    const breaches = findChunkRateBreaches(rates);
    for (const breach of breaches) stdout.write(`BREACH ${breach}\n`);
    return Promise.resolve(breaches.length > 0 ? 1 : 0);
  }
}

const cli = new Cli({binaryName: 'fescuespool-bench'});
cli.register(RunCommand);
cli.register(ChunksCommand);
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
