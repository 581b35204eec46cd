/** Buckets for each doubling of the slowdown. */
const BUCKETS_PER_DOUBLING = 4;

/** Number of buckets: slowdowns from 1 to 8 times. */
const BUCKET_COUNT = 13;

/** Factor by which each new sample reduces the weight of older ones. */
const SAMPLE_DECAY = 0.995;

/** Weight of the assumption that nothing slows down, in samples. */
const INITIAL_WEIGHT = 5;

/**
 * How often the upstreams of a service are how much slower than usual, from the
 * momentary slowdowns that they told.
 */
export class SlowdownShares {
  private readonly weights = new Float64Array(BUCKET_COUNT);
  /** Share of the samples in each bucket and all higher ones. */
  private readonly sharesFrom = new Float64Array(BUCKET_COUNT + 1);

  constructor() {
    this.weights[0] = INITIAL_WEIGHT;
    this.update();
  }

  /** Adds a slowdown, where 1 is as usual. */
  observe(slowdown: number): void {
    for (let i = 0; i < BUCKET_COUNT; i++) this.weights[i]! *= SAMPLE_DECAY;
    this.weights[bucketOf(slowdown)]! += 1;
    this.update();
  }

  /** Share from 0 to 1 of slowdowns above a limit. */
  shareAbove(limit: number): number {
    if (limit < 1) return 1;
    return this.sharesFrom[bucketOf(limit) + 1]!;
  }

  private update(): void {
    let sum = 0;
    for (let i = BUCKET_COUNT - 1; i >= 0; i--) {
      sum += this.weights[i]!;
      this.sharesFrom[i] = sum;
    }
    for (let i = 0; i < BUCKET_COUNT; i++) this.sharesFrom[i]! /= sum;
  }
}

function bucketOf(slowdown: number): number {
  const bucket = Math.floor(
    BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, slowdown)),
  );
  return Math.min(BUCKET_COUNT - 1, bucket);
}
