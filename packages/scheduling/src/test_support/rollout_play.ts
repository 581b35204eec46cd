import {RUN_END} from '../constants.js';
import type {RolloutBounds, RolloutState} from '../rollout/index.js';
import {RolloutTrial, ROLLOUT_STATE} from '../rollout/index.js';
import type {UpstreamSpec} from '../types.js';
import {grantRequest, upstream} from './queue_harness.js';

/** How a version answers a request; `factor` multiplies its time. */
export type Behaviour = (inputs: {
  readonly route: number;
  readonly sinceOrderMs: number;
  readonly running: number;
  /** Number of the upstream among those of its version. */
  readonly upstream: number;
  readonly random: () => number;
}) => {readonly fails: boolean; readonly factor: number};

/** What a play is about. */
export interface Play {
  readonly seed: number;
  readonly perS: number;
  readonly durationMs: number;
  readonly target: Behaviour;
  readonly serving: Behaviour;
}

/** How a play ended. */
export interface PlayResult {
  readonly state: RolloutState;
  readonly reason: string;
  readonly decidedAtMs: number;
  readonly exposed: number;
  /** Requests that a bad version may get. */
  readonly bound: number;
  readonly badAnswers: number;
}

/** Bounds as customers have them. */
export const BOUNDS: RolloutBounds = {
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5_000,
};

const ROUTE_SHARES = [0.22, 0.29, 0.19, 0.25, 0.05];
const ROUTE_MS = [350, 200, 450, 65, 60];
const UPSTREAMS = 12;
const STEP_MS = 5;
const TICK_MS = 100;
const WRITE_MS = 10;

/** Returns a generator of numbers from 0 to 1 (mulberry32). */
export function randomFrom(seed: number): () => number {
  let state = seed * 2_654_435_761;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Plays requests against a trial until it is decided; no network, no queue. */
export function playRollout(play: Play): PlayResult {
  const random = randomFrom(play.seed);
  const specs = ['old', 'new'].flatMap(softwareVersion =>
    Array.from({length: UPSTREAMS}, (_, i) =>
      upstream(`${softwareVersion}-${i}`, 512, {softwareVersion}),
    ),
  );
  const states = specs.map(spec => ({spec, running: 0, isUsable: true}));
  const trial = new RolloutTrial(
    BOUNDS,
    {
      target: 'new',
      durationMs: play.durationMs,
      state: ROLLOUT_STATE.RUNNING,
      isMoving: false,
      elapsedMs: 0,
      arrived: 0,
      permitted: 0,
      servingVersions: ['old'],
      barredVersions: [],
      reason: '',
      routes: [],
    },
    0,
  );
  const ends = new Map<number, (() => void)[]>();
  let exposed = 0;
  let badAnswers = 0;
  let count = 0;
  const result = (now: number): PlayResult => ({
    state: trial.current.state,
    reason: trial.current.reason,
    decidedAtMs: now,
    exposed,
    bound:
      BOUNDS.exposeSlack +
      (BOUNDS.exposeShare * play.perS * play.durationMs) / 1_000,
    badAnswers,
  });
  const send = (now: number): void => {
    const route = pickRoute(random());
    const id = `r${++count}`;
    const request = grantRequest(id, {route: `route-${route}`});
    const tried = trial.trialUpstreams(request, states, now);
    const pool =
      tried.length > 0
        ? tried
        : states.filter(({spec}: {spec: UpstreamSpec}) => trial.admits(spec));
    const state = pool[Math.floor(random() * pool.length)]!;
    const isTarget = trial.recordGrant(request, state.spec, now);
    if (isTarget) exposed++;
    state.running++;
    const behave = isTarget ? play.target : play.serving;
    const {running} = state;
    const answer = behave({
      route,
      sinceOrderMs: now,
      running,
      upstream: Number(state.spec.instanceId.split('-')[1]),
      random,
    });
    const spread = Math.exp(0.35 * gaussian(random));
    const ms = ROUTE_MS[route]! * spread * answer.factor;
    const endsAt = Math.ceil((now + ms) / STEP_MS) * STEP_MS;
    if (isTarget && (answer.fails || answer.factor > 2)) badAnswers++;
    const onEnd = (): void => {
      state.running--;
      const end = answer.fails ? RUN_END.FAILED : RUN_END.COMPLETED;
      const report = {requestId: id, end, eventGapMs: null, load: null};
      trial.recordEnd({...report, runMs: endsAt - now}, endsAt);
    };
    ends.set(endsAt, [...(ends.get(endsAt) ?? []), onEnd]);
  };
  let write: {readonly atMs: number; readonly done: () => void} | null = null;
  let owed = 0;
  for (let now = 0; now < 2 * play.durationMs; now += STEP_MS) {
    for (const end of ends.get(now) ?? []) end();
    ends.delete(now);
    for (owed += (play.perS * STEP_MS) / 1_000; owed >= 1; owed--) send(now);
    if (write && now >= write.atMs) {
      write.done();
      write = null;
      if (trial.current.state !== ROLLOUT_STATE.RUNNING) return result(now);
    }
    if (now % TICK_MS !== 0 || write) continue;
    trial.observe(states, now);
    const step = trial.decide(now, false);
    if (!step && !trial.needsPermit(now)) continue;
    const record = trial.plan(step, now);
    const exposures = trial.unrecordedExposures;
    const done = (): void => trial.confirm(record, exposures, now);
    write = {atMs: now + WRITE_MS, done};
  }
  return result(2 * play.durationMs);
}

function pickRoute(draw: number): number {
  let left = draw;
  const route = ROUTE_SHARES.findIndex(share => (left -= share) < 0);
  return route < 0 ? 0 : route;
}

function gaussian(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
