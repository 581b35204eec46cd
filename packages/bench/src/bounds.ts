import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import type {Experiment, RunFigures} from './experiment_types.js';

/** Targets of the placement policy at one load. */
interface LoadBound {
  readonly load: number;
  readonly topTierGoodput: number;
  /** Goodput of all tiers over that of the best baseline. */
  readonly overBestBaseline: number;
  readonly prefillRatio: number;
}

const BOUNDS: readonly LoadBound[] = [
  {load: 0.9, topTierGoodput: 0.99, overBestBaseline: 1, prefillRatio: 1.4},
  {load: 1.5, topTierGoodput: 0.99, overBestBaseline: 1.3, prefillRatio: 1.4},
  {load: 3, topTierGoodput: 0.98, overBestBaseline: 2, prefillRatio: 1.4},
];

const LATENCY_LOAD = 1.5;
const FIRST_TOKEN_MS = 750;
const TOKEN_INTERVAL_MS = 58;

function findLatencyBreaches(run: RunFigures): string[] {
  const [top] = run.tiers;
  if (run.load !== LATENCY_LOAD || !top) return [];
  const breaches: string[] = [];
  const {firstTokenP95Ms, tokenIntervalP95Ms} = top;
  if ((firstTokenP95Ms ?? 0) > FIRST_TOKEN_MS) {
    breaches.push(`first token p95 ${firstTokenP95Ms} ms > ${FIRST_TOKEN_MS}`);
  }
  if ((tokenIntervalP95Ms ?? 0) > TOKEN_INTERVAL_MS) {
    const text = `${tokenIntervalP95Ms} ms > ${TOKEN_INTERVAL_MS}`;
    breaches.push(`token interval p95 ${text}`);
  }
  return breaches;
}

function compareWithBaselines(
  bound: LoadBound,
  run: RunFigures,
  baselines: readonly RunFigures[],
): string[] {
  if (baselines.length === 0) return [];
  const best = Math.max(...baselines.map(other => other.goodput));
  const leastPrefill = Math.min(...baselines.map(other => other.prefillRatio));
  const breaches: string[] = [];
  if (run.goodput < best * bound.overBestBaseline) {
    const wanted = `${bound.overBestBaseline} x ${best.toFixed(3)}`;
    breaches.push(`goodput ${run.goodput.toFixed(3)} < ${wanted}`);
  }
  if (run.prefillRatio > leastPrefill) {
    const least = leastPrefill.toFixed(2);
    breaches.push(`prefill ${run.prefillRatio.toFixed(2)} > baseline ${least}`);
  }
  return breaches;
}

/** Compares figures with the targets; the result names every breach. */
export function findBoundBreaches(
  experiment: Experiment,
  figures: readonly RunFigures[],
): string[] {
  const breaches: string[] = [];
  for (const run of figures) {
    const at = `${experiment.name} ${run.policy} at ${run.load}`;
    const add = (text: string): number => breaches.push(`${at}: ${text}`);
    run.breaches.forEach(add);
    if (run.policy !== PLACEMENT_POLICY.PRICED) continue;
    const bound = BOUNDS.find(item => item.load === run.load);
    if (!bound) continue;
    const top = run.tiers[0]?.goodput ?? 0;
    if (top < bound.topTierGoodput) {
      add(`top tier ${top.toFixed(3)} < ${bound.topTierGoodput}`);
    }
    if (run.prefillRatio > bound.prefillRatio) {
      add(`prefill ${run.prefillRatio.toFixed(2)} > ${bound.prefillRatio}`);
    }
    const baselines = figures.filter(
      other => other.load === run.load && other !== run,
    );
    compareWithBaselines(bound, run, baselines).forEach(add);
    findLatencyBreaches(run).forEach(add);
  }
  return breaches;
}
