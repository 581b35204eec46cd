import {PLACEMENT_POLICY} from '@fescuespool/coordination';
import type {Experiment, RunFigures} from './experiment_types.js';

/** Bounds on the figures of the `priced` placement policy at one load. */
interface LoadBound {
  readonly load: number;
  readonly minTopTierGoodput: number;
  /** Least ratio of the goodput of all tiers to that of the best baseline. */
  readonly minBaselineRatio: number;
  readonly maxPrefillRatio: number;
}

const BOUNDS: readonly LoadBound[] = [
  {
    load: 0.9,
    minTopTierGoodput: 0.99,
    minBaselineRatio: 1,
    maxPrefillRatio: 1.4,
  },
  {
    load: 1.5,
    minTopTierGoodput: 0.99,
    minBaselineRatio: 1.3,
    maxPrefillRatio: 1.4,
  },
  {load: 3, minTopTierGoodput: 0.98, minBaselineRatio: 2, maxPrefillRatio: 1.4},
];

/** Load at which the latency of the top tier is checked. */
const LATENCY_LOAD = 1.5;
const MAX_FIRST_TOKEN_P95_MS = 750;
const MAX_TOKEN_INTERVAL_P95_MS = 58;

function findLatencyBreaches(run: RunFigures): string[] {
  const [top] = run.tiers;
  if (run.load !== LATENCY_LOAD || !top) return [];
  const breaches: string[] = [];
  const {firstTokenP95Ms, tokenIntervalP95Ms} = top;
  if ((firstTokenP95Ms ?? 0) > MAX_FIRST_TOKEN_P95_MS) {
    breaches.push(
      `top-tier first-token p95 ${firstTokenP95Ms} ms > ${MAX_FIRST_TOKEN_P95_MS} ms`,
    );
  }
  if ((tokenIntervalP95Ms ?? 0) > MAX_TOKEN_INTERVAL_P95_MS) {
    const text = `${tokenIntervalP95Ms} ms > ${MAX_TOKEN_INTERVAL_P95_MS} ms`;
    breaches.push(`top-tier token interval p95 ${text}`);
  }
  return breaches;
}

/** Compares a run with those of the other policies at the same load. */
function compareWithBaselines(
  bound: LoadBound,
  run: RunFigures,
  baselines: readonly RunFigures[],
): string[] {
  if (baselines.length === 0) return [];
  const best = Math.max(...baselines.map(other => other.goodput));
  const lowestPrefill = Math.min(...baselines.map(other => other.prefillRatio));
  const breaches: string[] = [];
  if (run.goodput < best * bound.minBaselineRatio) {
    const required = `${bound.minBaselineRatio} x best baseline ${best.toFixed(3)}`;
    breaches.push(`goodput ${run.goodput.toFixed(3)} < ${required}`);
  }
  if (run.prefillRatio > lowestPrefill) {
    const baseline = lowestPrefill.toFixed(2);
    breaches.push(
      `prefill ratio ${run.prefillRatio.toFixed(2)} > lowest baseline ${baseline}`,
    );
  }
  return breaches;
}

/**
 * Compares an experiment's figures with the bounds. Returns a line for each
 * breach, those that the runs have recorded included.
 */
export function findBoundBreaches(
  experiment: Experiment,
  figures: readonly RunFigures[],
): string[] {
  const breaches: string[] = [];
  for (const run of figures) {
    const label = `${experiment.name} ${run.policy} at load ${run.load}`;
    const addBreach = (text: string): number =>
      breaches.push(`${label}: ${text}`);
    run.breaches.forEach(addBreach);
    if (run.policy !== PLACEMENT_POLICY.PRICED) continue;
    const bound = BOUNDS.find(item => item.load === run.load);
    if (!bound) continue;
    const top = run.tiers[0]?.goodput ?? 0;
    if (top < bound.minTopTierGoodput) {
      addBreach(
        `top-tier goodput ${top.toFixed(3)} < ${bound.minTopTierGoodput}`,
      );
    }
    if (run.prefillRatio > bound.maxPrefillRatio) {
      addBreach(
        `prefill ratio ${run.prefillRatio.toFixed(2)} > ${bound.maxPrefillRatio}`,
      );
    }
    const baselines = figures.filter(
      other => other.load === run.load && other !== run,
    );
    compareWithBaselines(bound, run, baselines).forEach(addBreach);
    findLatencyBreaches(run).forEach(addBreach);
  }
  return breaches;
}
