import type {StreamForecast} from './stream_outlook.js';

/** An upstream with room for a stream. */
export interface StreamOption<T> {
  readonly target: T;
  readonly forecast: StreamForecast;
  /** Start time and weighted penalties in milliseconds; orders equal options. */
  readonly costMs: number;
}

/** What placing now is weighed against. */
export interface StreamAlternative {
  /** Whether it can't meet its objective any more. */
  readonly isLate: boolean;
  /** Probability that it is in time at an upstream that has room later. */
  readonly laterChance: number;
  /** Milliseconds left in which it may be placed. */
  readonly leftToPlaceMs: number;
}

/** Difference in streams in time up to which two options count as equal. */
const EQUAL_CHANCE = 0.05;

/** Neighbours that a stream which is late anyhow may make late. */
const MAX_LATE_HARM = 0.25;

/** Smallest chance for which a stream is not left for those that have more. */
const MIN_CHANCE = 0.2;

/** Milliseconds before the last placement in which a stream goes anywhere. */
const LAST_RESORT_MS = 500;

/** Whether no other option can be better than this one by more than its cost. */
export function isSurelyInTime({inTimeChance, harm}: StreamForecast): boolean {
  return inTimeChance - harm >= 1 - EQUAL_CHANCE;
}

/**
 * Where to place a stream: the option with the most streams in time, its own and
 * those of the neighbours; `wait` if room elsewhere comes in time or where it is
 * would only do harm, `late` if it can't be in time any more.
 */
export function chooseForStream<T>(
  options: readonly StreamOption<T>[],
  {isLate, laterChance, leftToPlaceMs}: StreamAlternative,
): StreamOption<T> | 'wait' | 'late' {
  const gainOf = ({forecast: {inTimeChance, harm}}: StreamOption<T>): number =>
    isLate ? -harm : inTimeChance - harm;
  let best: StreamOption<T> | null = null;
  let mostGain = -Infinity;
  for (const option of options) {
    const gain = gainOf(option);
    const isEqual = best !== null && Math.abs(gain - mostGain) <= EQUAL_CHANCE;
    if (isEqual ? option.costMs < best!.costMs : gain > mostGain) {
      best = option;
      mostGain = Math.max(mostGain, gain);
    }
  }
  if (!isLate && laterChance > Math.max(0, mostGain) + EQUAL_CHANCE)
    return 'wait';
  if (best !== null && leftToPlaceMs <= LAST_RESORT_MS) return best;
  if (isLate) return mostGain >= -MAX_LATE_HARM ? best! : 'wait';
  return mostGain >= MIN_CHANCE ? best! : 'late';
}
