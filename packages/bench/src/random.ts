import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns random numbers from 0 up to, but not including, 1. */
export type Random = () => number;

/** Creates a source of random numbers that repeats for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Picks a random item of a list, which must not be empty. */
export function pick<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)]!;
}

/** Samples the milliseconds between two arrivals of a Poisson process. */
export function nextInterarrivalMs(random: Random, perSecond: number): number {
  return (-Math.log(1 - random()) / perSecond) * 1_000;
}
