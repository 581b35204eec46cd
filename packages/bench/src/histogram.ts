import {build} from 'hdr-histogram-js';

const HIGHEST_MS = 600_000;

/** Percentile of durations in milliseconds; null without any. */
export function percentile(
  valuesMs: readonly number[],
  percent: number,
): number | null {
  if (valuesMs.length === 0) return null;
  const histogram = build({
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of valuesMs) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(percent);
}
