import type {Experiment, RunFigures} from './experiment_types.js';

/** Dimensions of a chart in pixels. */
const CHART = {WIDTH: 640, ROW: 26, LABEL: 150, BAR: 380} as const;
const TIER_COLORS = ['#1f5fa8', '#4f9d69', '#d69f2e', '#b8b8b8'] as const;

function formatCell(value: number | null, digits: number): string {
  return value === null ? '-' : value.toFixed(digits);
}

function runsByGoodput(
  figures: readonly RunFigures[],
  load: number,
): RunFigures[] {
  return figures
    .filter(run => run.load === load)
    .sort((a, b) => b.goodput - a.goodput);
}

/** Renders the figures as Markdown, with a table for each load. */
export function renderMarkdown(
  experiment: Experiment,
  figures: readonly RunFigures[],
): string {
  const lines = [`# ${experiment.name}`, '', `Seed ${experiment.seed}.`, ''];
  const tiers = experiment.tiers.map(({tier}) => tier);
  for (const load of experiment.loads) {
    lines.push(`## ${load} x capacity`, '');
    const header = [
      'policy',
      'goodput',
      ...tiers,
      'prefill',
      'p95 first token',
    ];
    lines.push(`| ${header.join(' | ')} | p95 interval | bound |`);
    lines.push(`|${' --- |'.repeat(header.length + 2)}`);
    for (const run of runsByGoodput(figures, load)) {
      const [top] = run.tiers;
      const row = [
        run.policy,
        formatCell(run.goodput, 3),
        ...run.tiers.map(tier => formatCell(tier.goodput, 3)),
        formatCell(run.prefillRatio, 2),
        formatCell(top?.firstTokenP95Ms ?? null, 0),
        formatCell(top?.tokenIntervalP95Ms ?? null, 0),
        formatCell(run.upperBound, 2),
      ];
      lines.push(`| ${row.join(' | ')} |`);
    }
    lines.push('');
  }
  return `${lines.join('\n')}\n`;
}

/**
 * Renders a bar for each run, split by tier into the shares of the offered
 * requests that were answered in time, and a line at the upper bound.
 */
function renderChart(runs: readonly RunFigures[]): string {
  const height = runs.length * CHART.ROW + 24;
  const rows = runs.map((run, row) => {
    const y = row * CHART.ROW + 4;
    let x: number = CHART.LABEL;
    const bars = run.tiers.map((tier, index) => {
      const width = (CHART.BAR * tier.inTime) / Math.max(1, run.offered);
      const bar = `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" height="18" fill="${TIER_COLORS[index % TIER_COLORS.length]}"><title>${tier.tier} ${tier.goodput.toFixed(3)}</title></rect>`;
      x += width;
      return bar;
    });
    const caption = `${run.goodput.toFixed(2)}, prefill ${run.prefillRatio.toFixed(2)}x`;
    return (
      `<text x="${CHART.LABEL - 8}" y="${y + 13}" text-anchor="end">${run.policy}</text>` +
      bars.join('') +
      `<text x="${(x + 6).toFixed(1)}" y="${y + 13}">${caption}</text>`
    );
  });
  const boundX = CHART.LABEL + CHART.BAR * (runs[0]?.upperBound ?? 1);
  const boundLine = `<line x1="${boundX.toFixed(1)}" x2="${boundX.toFixed(1)}" y1="0" y2="${height - 20}" stroke="#b42318" stroke-dasharray="4 3"/>`;
  return `<svg viewBox="0 0 ${CHART.WIDTH} ${height}" width="${CHART.WIDTH}" role="img">${rows.join('')}${boundLine}</svg>`;
}

/** Renders the figures as an HTML page with a chart for each load. */
export function renderHtml(
  experiment: Experiment,
  figures: readonly RunFigures[],
): string {
  const legend = experiment.tiers
    .map(
      ({tier}, index) =>
        `<span style="color:${TIER_COLORS[index % TIER_COLORS.length]}">&#9632;</span> ${tier}`,
    )
    .join(' ');
  const sections = experiment.loads.map(load => {
    const chart = renderChart(runsByGoodput(figures, load));
    return `<h2>${load} x capacity</h2>${chart}`;
  });
  return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>${experiment.name}</title>
<style>body{font:14px system-ui,sans-serif;margin:2rem;color:#1b1f24}svg text{font-size:12px}</style>
<h1>${experiment.name}</h1>
<p>Share of the offered requests that were answered completely and in time, by
tier. The dashed line is the upper bound that the slots allow. Seed ${experiment.seed}.</p>
<p>${legend}</p>
${sections.join('\n')}
</html>
`;
}
