import {describe, expect, it} from 'vitest';
import type {
  Behaviour,
  Play,
  PlayResult,
} from '../test_support/rollout_play.js';
import {playRollout} from '../test_support/rollout_play.js';
import {ROLLOUT_STATE} from './constants.js';

/** Plays per case; a run by hand sets it to 1,000. */
const SEEDS = Number(process.env['ROLLOUT_SEEDS'] ?? 8);

/** Share of good versions that may be rolled back. */
const MAX_UNDONE_SHARE = 0.01;

/** Share of good versions that may be completed after their time. */
const MAX_LATE_SHARE = 0.05;

const ONE_ROUTE = 'on one route';

/** Requests a second times ms at which one route gets too few for certainty. */
const SCARCE = 100 * 8_000;

/** Share of versions that are bad on one route and may pass where it does. */
const MAX_PASSED_SHARE = 0.01;

const RATES = [100, 1_000] as const;
const DURATIONS_MS = [8_000, 12_000, 30_000] as const;
const BAD_SHARE = 0.5;
const SLOWER = 5;
/** Requests that run at one upstream when all traffic of an upstream is there. */
const LOADED = 2;

const good: Behaviour = ({random}) => ({fails: random() < 0.004, factor: 1});

type When = Parameters<Behaviour>[0];

const WHEN: Readonly<Record<string, (inputs: When) => boolean>> = {
  immediately: () => true,
  later: ({sinceOrderMs}) => sinceOrderMs > 3_000,
  'under load': ({running}) => running >= LOADED,
  [ONE_ROUTE]: ({route}) => route === 2,
};

const HOW: Readonly<Record<string, {fails: boolean; factor: number}>> = {
  failing: {fails: true, factor: 1},
  slow: {fails: false, factor: SLOWER},
};

const bad =
  (how: keyof typeof HOW, when: keyof typeof WHEN): Behaviour =>
  inputs =>
    WHEN[when]!(inputs) && inputs.random() < BAD_SHARE
      ? HOW[how]!
      : good(inputs);

function playAll(play: Omit<Play, 'seed' | 'serving'>): PlayResult[] {
  return Array.from({length: SEEDS}, (_, seed) =>
    playRollout({...play, seed, serving: good}),
  );
}

const play = (perS: number, durationMs: number): string =>
  `${perS}/s ${durationMs} ms`;

/** Prints what a run by hand is for. */
function report(
  version: string,
  where: string,
  results: readonly PlayResult[],
): void {
  if (process.env['ROLLOUT_SEEDS'] === undefined) return;
  const count = (test: (result: PlayResult) => boolean): number =>
    results.filter(test).length;
  const most = (of: (result: PlayResult) => number): number =>
    Math.max(...results.map(of));
  console.log(
    `${where} ${version}: of ${results.length}`,
    `completed ${count(({state}) => state === ROLLOUT_STATE.COMPLETED)},`,
    `over ${count(({exposed, bound}) => exposed > bound)},`,
    `exposure ${most(({exposed, bound}) => exposed / bound).toFixed(2)},`,
    `bad answers ${most(({badAnswers}) => badAnswers)},`,
    [...new Set(results.map(({reason}) => reason))].slice(0, 4).join('; '),
    `decided at ${most(({decidedAtMs}) => decidedAtMs)} ms`,
  );
}

/** What troubles upstreams of all versions, or one upstream alone. */
const TROUBLES: Readonly<Record<string, Behaviour>> = {
  'a burst that slows both versions': inputs => {
    const isBurst = inputs.sinceOrderMs > 1_500 && inputs.sinceOrderMs < 5_000;
    return {...good(inputs), factor: isBurst ? 4 : 1};
  },
  'failures of both versions': inputs => {
    const isBad = inputs.sinceOrderMs > 1_500 && inputs.sinceOrderMs < 5_000;
    return isBad ? {fails: inputs.random() < 0.3, factor: 1} : good(inputs);
  },
  'one upstream that fails': inputs =>
    inputs.upstream === 3
      ? {fails: inputs.random() < 0.7, factor: 1}
      : good(inputs),
};

describe('RolloutTrial', () => {
  for (const [name, behaviour] of Object.entries(TROUBLES)) {
    it(`completes a good version beside ${name}`, () => {
      const [perS, durationMs] = [400, 12_000];
      const results = Array.from({length: SEEDS}, (_, seed) =>
        playRollout({
          seed,
          perS,
          durationMs,
          target: behaviour,
          serving: behaviour,
        }),
      );
      report(name, play(perS, durationMs), results);
      const undone = results.filter(
        ({state}) => state !== ROLLOUT_STATE.COMPLETED,
      );
      expect(undone.length).toBeLessThanOrEqual(MAX_UNDONE_SHARE * SEEDS);
    });
  }

  for (const perS of RATES) {
    for (const durationMs of DURATIONS_MS) {
      describe(`at ${perS} requests a second within ${durationMs} ms`, () => {
        it('completes all but few good versions, and in time', () => {
          const results = playAll({perS, durationMs, target: good});
          const share = (count: number): number => count / results.length;
          const isDone = ({state}: PlayResult): boolean =>
            state === ROLLOUT_STATE.COMPLETED;
          const isLate = ({decidedAtMs}: PlayResult): boolean =>
            decidedAtMs > durationMs;
          const notDone = results.filter(result => !isDone(result));
          report('good', play(perS, durationMs), results);
          expect(share(notDone.length)).toBeLessThanOrEqual(MAX_UNDONE_SHARE);
          const late = results.filter(isLate);
          expect(share(late.length)).toBeLessThanOrEqual(MAX_LATE_SHARE);
        });

        for (const how of Object.keys(HOW)) {
          for (const when of Object.keys(WHEN)) {
            it(`rolls back versions that are ${how} ${when}`, () => {
              const target = bad(how, when);
              const results = playAll({perS, durationMs, target});
              report(`${how} ${when}`, play(perS, durationMs), results);
              const passed = results.filter(
                ({state, exposed, bound}) =>
                  state !== ROLLOUT_STATE.ROLLED_BACK || exposed > bound,
              );
              const isScarce =
                perS * durationMs <= SCARCE && when === ONE_ROUTE;
              const most = isScarce ? MAX_PASSED_SHARE * results.length : 0;
              expect(passed.length).toBeLessThanOrEqual(most);
            });
          }
        }
      });
    }
  }
});
