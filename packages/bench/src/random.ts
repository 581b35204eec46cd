import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded source of random numbers from 0 up to 1. */
export type Random = () => number;

/** Makes a seeded source of random numbers. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Picks an item of a list. */
export function pick<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)]!;
}

/** Time in milliseconds to the next arrival of a Poisson process. */
export function nextInterarrivalMs(random: Random, perSecond: number): number {
  return (-Math.log(1 - random()) / perSecond) * 1_000;
}
