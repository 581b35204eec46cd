/** Milliseconds for which answers are counted together. */
const BUCKET_MS = 100;

/** Buckets of answers that are kept: three seconds. */
const MAX_BUCKETS = 30;

/** Buckets before and after an answer of the target with which it is compared. */
const NEAR_BUCKETS = 4;

/** Lowest share of bad answers that is expected of a good version. */
const MIN_EXPECTED_SHARE = 0.02;

/** Answers of a route below which those of all routes are taken. */
const MIN_ANSWERS = 5;

/** Bad answers below which a short time is no different from a longer one. */
const MIN_NEAR_BAD = 2;

/** Answers, one of them bad, that stand for what is not known. */
const PRIOR_ANSWERS = 2;

interface Bucket {
  readonly index: number;
  answers: number;
  bad: number;
}

/** Share of bad answers that the serving versions gave in the last seconds. */
export class RecentShare {
  private readonly byRoute = new Map<string, Bucket[]>();
  private readonly all: Bucket[] = [];

  constructor(private readonly maxRoutes: number) {}

  /** Records an answer. */
  record(route: string, isBad: boolean, nowMs: number): void {
    let buckets = this.byRoute.get(route);
    if (!buckets && this.byRoute.size < this.maxRoutes) {
      this.byRoute.set(route, (buckets = []));
    }
    for (const list of buckets ? [buckets, this.all] : [this.all]) {
      add(list, isBad, nowMs);
    }
  }

  /**
   * Share of bad answers to expect of a good version at a time: the higher one of
   * those near that time and of the last seconds.
   */
  expected(route: string, atMs: number): number {
    const at = Math.floor(atMs / BUCKET_MS);
    const near = this.shareBetween(
      route,
      at - NEAR_BUCKETS,
      at + NEAR_BUCKETS,
      MIN_NEAR_BAD,
    );
    const recent = this.shareBetween(route, at - MAX_BUCKETS, Infinity, 0);
    return Math.max(near, recent, MIN_EXPECTED_SHARE);
  }

  /** Routes that got answers in the last seconds. */
  activeRoutes(nowMs: number): string[] {
    const from = Math.floor(nowMs / BUCKET_MS) - MAX_BUCKETS;
    return [...this.byRoute.keys()].filter(
      route => sum(this.byRoute.get(route)!, from, Infinity).answers > 0,
    );
  }

  private shareBetween(
    route: string,
    from: number,
    to: number,
    minBad: number,
  ): number {
    const ofRoute = sum(this.byRoute.get(route) ?? [], from, to);
    const {answers, bad} =
      ofRoute.answers >= MIN_ANSWERS ? ofRoute : sum(this.all, from, to);
    return bad < minBad ? 0 : (bad + 1) / (answers + PRIOR_ANSWERS);
  }
}

function add(buckets: Bucket[], isBad: boolean, nowMs: number): void {
  const index = Math.floor(nowMs / BUCKET_MS);
  let last = buckets.at(-1);
  if (last?.index !== index) {
    buckets.push((last = {index, answers: 0, bad: 0}));
    if (buckets.length > MAX_BUCKETS) buckets.shift();
  }
  last.answers++;
  if (isBad) last.bad++;
}

function sum(
  buckets: readonly Bucket[],
  from: number,
  to: number,
): {answers: number; bad: number} {
  let answers = 0;
  let bad = 0;
  for (const bucket of buckets) {
    if (bucket.index < from || bucket.index > to) continue;
    answers += bucket.answers;
    bad += bucket.bad;
  }
  return {answers, bad};
}
