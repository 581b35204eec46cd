/** Seconds of answers with which the target's are compared. */
const WINDOW_S = 3;

const MS_PER_SECOND = 1_000;

/** Lowest share of bad answers that is expected of a good version. */
const MIN_EXPECTED_SHARE = 0.02;

/** Highest share up to which a higher one can still be told from it. */
const MAX_EXPECTED_SHARE = 0.75;

/** Answers of a route below which those of all routes are taken. */
const MIN_ANSWERS = 10;

/** Answers, one of them bad, that stand for what is not known. */
const PRIOR_ANSWERS = 10;

interface Second {
  readonly second: number;
  answers: number;
  bad: number;
}

/** Share of bad answers that the serving versions gave in the last seconds. */
export class RecentShare {
  private readonly byRoute = new Map<string, Second[]>();
  private readonly all: Second[] = [];

  constructor(private readonly maxRoutes: number) {}

  /** Records an answer. */
  record(route: string, isBad: boolean, nowMs: number): void {
    let seconds = this.byRoute.get(route);
    if (!seconds && this.byRoute.size < this.maxRoutes) {
      this.byRoute.set(route, (seconds = []));
    }
    for (const list of seconds ? [seconds, this.all] : [this.all]) {
      add(list, isBad, nowMs);
    }
  }

  /** Share of bad answers to expect of a good version. */
  expected(route: string, nowMs: number): number {
    const ofRoute = sum(this.byRoute.get(route) ?? [], nowMs);
    const {answers, bad} =
      ofRoute.answers >= MIN_ANSWERS ? ofRoute : sum(this.all, nowMs);
    const share = (bad + 1) / (answers + PRIOR_ANSWERS);
    if (bad === 0 || answers === 0) return MIN_EXPECTED_SHARE;
    return Math.min(MAX_EXPECTED_SHARE, Math.max(MIN_EXPECTED_SHARE, share));
  }

  /** Routes that got answers in the last seconds. */
  activeRoutes(nowMs: number): string[] {
    return [...this.byRoute.keys()].filter(
      route => sum(this.byRoute.get(route)!, nowMs).answers > 0,
    );
  }
}

function add(seconds: Second[], isBad: boolean, nowMs: number): void {
  const second = Math.floor(nowMs / MS_PER_SECOND);
  let last = seconds.at(-1);
  if (last?.second !== second) {
    seconds.push((last = {second, answers: 0, bad: 0}));
    if (seconds.length > WINDOW_S + 1) seconds.shift();
  }
  last.answers++;
  if (isBad) last.bad++;
}

function sum(
  seconds: readonly Second[],
  nowMs: number,
): {answers: number; bad: number} {
  const from = Math.floor(nowMs / MS_PER_SECOND) - WINDOW_S;
  let answers = 0;
  let bad = 0;
  for (const entry of seconds) {
    if (entry.second < from) continue;
    answers += entry.answers;
    bad += entry.bad;
  }
  return {answers, bad};
}
