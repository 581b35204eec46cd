import {MAX_ROLLOUT_ROUTES} from './constants.js';
import type {RouteEvidence} from './types.js';

/** Excess of bad answers over the expected share that must be found. */
export const DETECTABLE_SHARE = 0.25;

/** Odds, as a logarithm, at which a version is held to be bad: 1 in 100,000. */
const ALARM = Math.log(100_000);

/** Odds, as a logarithm, that a route is good for all traffic to be moved. */
const PROOF_TO_MOVE = Math.log(14);

/** Odds, as a logarithm, that a route is good for the move to be completed. */
const PROOF_TO_COMPLETE = Math.log(40);

/** Evidence beyond this is not kept, so that later bad answers weigh as much. */
const MAX_PROOF = Math.log(500);

/** Bad answers beyond twice the expected ones at which no test goes on. */
const MAX_EXCESS = 25;

/** Log likelihood ratio of an open answer that takes longer than most. */
const LATE_ANSWER_WEIGHT = 1;

/** Share of bad answers up to which a higher one can be told from it. */
const MAX_EXPECTED_SHARE = 0.7;

interface Score {
  good: number;
  bad: number;
  alarm: number;
  proof: number;
}

/**
 * Sequential test of a version, for each route and for all together, between the
 * share of bad answers that is expected of a good version and a share that is
 * DETECTABLE_SHARE higher.
 */
export class VersionTest {
  private readonly routes = new Map<string, Score>();
  private allAlarm = 0;
  private expectedBad = 0;
  private bad = 0;

  constructor(evidence: readonly RouteEvidence[] = []) {
    for (const {route, ...score} of evidence)
      this.routes.set(route, {...score});
  }

  /** Records an answer of the version. */
  record(route: string, isBad: boolean, expectedShare: number): void {
    // Where most answers are bad anyway, none tells anything of the version.
    if (expectedShare > MAX_EXPECTED_SHARE) return;
    const score = this.scoreOf(route);
    const badShare = expectedShare + DETECTABLE_SHARE;
    const ratio = isBad
      ? Math.log(badShare / expectedShare)
      : Math.log((1 - badShare) / (1 - expectedShare));
    if (isBad) this.bad++;
    this.expectedBad += expectedShare;
    this.allAlarm = Math.max(0, this.allAlarm + ratio);
    if (!score) return;
    if (isBad) score.bad++;
    else score.good++;
    score.alarm = Math.max(0, score.alarm + ratio);
    score.proof = Math.min(MAX_PROOF, Math.max(0, score.proof - ratio));
  }

  /** Route on which the version is bad, '*' for all; null while it isn't. */
  get alarmedBy(): string | null {
    for (const [route, {alarm}] of this.routes) {
      if (alarm >= ALARM) return route;
    }
    if (this.allAlarm >= ALARM || this.excess >= MAX_EXCESS) return '*';
    return null;
  }

  /** Whether so many answers were bad that one upstream is no excuse. */
  get isBeyondDoubt(): boolean {
    return this.excess >= MAX_EXCESS;
  }

  /** Forgets what speaks for a bad version, once an upstream was set aside. */
  clearAlarm(): void {
    this.allAlarm = 0;
    for (const score of this.routes.values()) score.alarm = 0;
  }

  /**
   * Routes that lack evidence for a move, or for its completion. Each answer that
   * takes longer than most is taken as speaking against the version.
   */
  unproven(
    routes: readonly string[],
    isMoving: boolean,
    lateCount: (route: string) => number,
  ): string[] {
    const needed = isMoving ? PROOF_TO_COMPLETE : PROOF_TO_MOVE;
    return routes.filter(route => {
      const proof = this.routes.get(route)?.proof ?? 0;
      return proof - LATE_ANSWER_WEIGHT * lateCount(route) < needed;
    });
  }

  /** Evidence that a route is good, with open answers taken as good ones. */
  proofOf(route: string, openAnswers: number): number {
    return (
      (this.routes.get(route)?.proof ?? 0) + DETECTABLE_SHARE * openAnswers
    );
  }

  /** Evidence by route, to be kept and shown. */
  get evidence(): RouteEvidence[] {
    return [...this.routes].map(([route, score]) => ({route, ...score}));
  }

  private get excess(): number {
    return this.bad - 2 * this.expectedBad;
  }

  private scoreOf(route: string): Score | null {
    const known = this.routes.get(route);
    if (known) return known;
    if (this.routes.size >= MAX_ROLLOUT_ROUTES) return null;
    const score = {good: 0, bad: 0, alarm: 0, proof: 0};
    this.routes.set(route, score);
    return score;
  }
}
