import {
  DEATH_EPISODE_MS,
  MIN_CRASH_CONTENTS,
  MIN_CRASH_EPISODES,
} from './constants.js';
import type {UpstreamDeath} from './types.js';

/**
 * The prompt part that explains upstream deaths best; null while the evidence is
 * not sufficient. A part qualifies if it was in flight in several separate deaths
 * and in requests of different contents. Requests that crash upstreams also share
 * parts with sound ones, mostly those before the part that causes the crashes, so
 * a part yields to a later one that explains the same deaths, save for one.
 */
export function findCrashCause(
  deaths: readonly UpstreamDeath[],
): string | null {
  let cause: string | null = null;
  let mostDeaths = 0;
  for (const [part, own] of indexByPart(deaths, partsOf)) {
    if (own.length <= mostDeaths || !isSufficient(own, part)) continue;
    if (hasNarrowerCause(own, part)) continue;
    cause = part;
    mostDeaths = own.length;
  }
  return cause;
}

/** Whether a part was in flight when an upstream died. */
export function hasPart({suspects}: UpstreamDeath, part: string): boolean {
  return suspects.some(({parts}) => parts.includes(part));
}

/**
 * Whether the deaths with a part suffice to blame it. Upstreams that die together
 * have an outage in common, so their deaths count as one.
 */
function isSufficient(deaths: readonly UpstreamDeath[], part: string): boolean {
  let episodes = 0;
  let episodeStartMs = -Infinity;
  for (const {atMs} of deaths) {
    if (atMs - episodeStartMs < DEATH_EPISODE_MS) continue;
    episodeStartMs = atMs;
    episodes++;
  }
  return (
    episodes >= MIN_CRASH_EPISODES &&
    contentsWith(deaths, part).size >= MIN_CRASH_CONTENTS
  );
}

/** Whether a later part of the same prompts was in all of the deaths but one. */
function hasNarrowerCause(
  deaths: readonly UpstreamDeath[],
  part: string,
): boolean {
  const deathsByLaterPart = indexByPart(deaths, death =>
    death.suspects
      .filter(({parts}) => parts.includes(part))
      .flatMap(({parts}) => parts.slice(parts.indexOf(part) + 1)),
  );
  return [...deathsByLaterPart].some(
    ([later, shared]) =>
      shared.length >= deaths.length - 1 &&
      contentsWith(shared, later).size >= MIN_CRASH_CONTENTS,
  );
}

function partsOf({suspects}: UpstreamDeath): string[] {
  return suspects.flatMap(({parts}) => parts);
}

/** Groups deaths by the parts that a function returns for each of them. */
function indexByPart(
  deaths: readonly UpstreamDeath[],
  partsIn: (death: UpstreamDeath) => readonly string[],
): Map<string, UpstreamDeath[]> {
  const index = new Map<string, UpstreamDeath[]>();
  for (const death of deaths) {
    for (const part of new Set(partsIn(death))) {
      const group = index.get(part);
      if (group) group.push(death);
      else index.set(part, [death]);
    }
  }
  return index;
}

function contentsWith(
  deaths: readonly UpstreamDeath[],
  part: string,
): Set<string> {
  const contents = deaths
    .flatMap(({suspects}) => suspects)
    .filter(({parts}) => parts.includes(part))
    .map(({content}) => content);
  return new Set(contents);
}
