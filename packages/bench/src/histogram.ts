import {build} from 'hdr-histogram-js';

const MAX_TRACKABLE_MS = 600_000;

/** Returns a percentile of durations in milliseconds, or null without any. */
export function percentile(
  valuesMs: readonly number[],
  percent: number,
): number | null {
  if (valuesMs.length === 0) return null;
  const histogram = build({
    highestTrackableValue: MAX_TRACKABLE_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of valuesMs) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(percent);
}
