/** A stream on an upstream that a further prompt would pause. */
export interface NeighbourStream {
  readonly tier: number;
  /** Longest acceptable milliseconds between two of its events. */
  readonly maxEventGapMs: number;
}

/** An upstream as a stream is placed there; plain figures. */
export interface UpstreamOutlook {
  /** Time of work there, relative to the service's median upstream. */
  readonly factor: number;
  /** The same with what the unstarted runs show by their age. */
  readonly startFactor: number;
  /** Momentary slowdown that it told last, and the trust in it from 0 to 1. */
  readonly toldSlowdown: number;
  readonly slowdownTrust: number;
  /** Prompt tokens that it has yet to read before a new prompt. */
  readonly unreadTokens: number;
  /** Expected milliseconds of a run. */
  readonly runMs: number;
  readonly neighbours: readonly NeighbourStream[];
  /** The shortest `maxEventGapMs` of the neighbours; Infinity without any. */
  readonly shortestGapMs: number;
}

/** Times of the service's median upstream in milliseconds. */
export interface ServiceTimes {
  /** From the send to the first event, without the reading of the prompt. */
  readonly baseMs: () => number;
  /** To read prompt tokens. */
  readonly readMs: (promptTokens: number) => number;
  /** Between two events while no prompt is read. */
  readonly eventGapMs: () => number;
  /** Share of the time in which work takes longer than `limit` times as usual. */
  readonly slowdownShareAbove: (limit: number) => number;
}

/** What placing a stream on an upstream means. */
export interface StreamForecast {
  /** Probability that the stream starts and goes on within its objectives. */
  readonly inTimeChance: number;
  /**
   * Expected number of neighbours that its prompt makes late, in streams of its
   * own tier.
   */
  readonly harm: number;
}

/** The stream to be placed. */
export interface StreamDemand {
  readonly tier: number;
  /** Tokens that the upstream has to read. */
  readonly promptTokens: number;
  /** Milliseconds left to the objective for the first event. */
  readonly leftMs: number;
  readonly maxEventGapMs: number;
}

/**
 * Prompt tokens that an upstream reads at most between two events of another
 * stream: chunks of 1,024 tokens beside each of an event's four tokens.
 */
const MAX_READ_BETWEEN_EVENTS = 4_096;

/** Streams of the next lower tier that count as much as one of a tier. */
const TIER_WEIGHT = 4;

/** Largest number of tiers by which the weights of two streams differ. */
const MAX_TIER_DISTANCE = 3;

/**
 * Ratio of the time left to the predicted one up to which a prediction's own error
 * may make a stream late.
 */
export const SAFE_RATIO = 1.2;

/** Expected milliseconds to the first event of a prompt. */
export function startMsOf(
  promptTokens: number,
  upstream: UpstreamOutlook,
  times: ServiceTimes,
): number {
  const {toldSlowdown, slowdownTrust} = upstream;
  const slowdown = 1 + (toldSlowdown - 1) * slowdownTrust;
  return times.baseMs() + slowdown * usualReadMs(promptTokens, upstream, times);
}

/** Milliseconds to read what is ahead and the prompt, without a slowdown. */
function usualReadMs(
  promptTokens: number,
  {startFactor, unreadTokens}: UpstreamOutlook,
  {readMs}: ServiceTimes,
): number {
  return startFactor * readMs(unreadTokens + promptTokens);
}

/** Predicts first event and pauses of a stream, and those of its neighbours. */
export function forecastStream(
  demand: StreamDemand,
  upstream: UpstreamOutlook,
  times: ServiceTimes,
): StreamForecast {
  const {promptTokens, leftMs} = demand;
  const leftToReadMs = leftMs / SAFE_RATIO - times.baseMs();
  const startsLate = chanceAbove(
    leftToReadMs / usualReadMs(promptTokens, upstream, times),
    upstream,
    times,
  );
  const pausesLate = chanceAbove(
    demand.maxEventGapMs / (upstream.factor * times.eventGapMs()),
    upstream,
    times,
  );
  const inTimeChance = (1 - startsLate) * (1 - pausesLate);
  return {inTimeChance, harm: harmOf(demand, upstream, times)};
}

/** Expected loss of the neighbours while the prompt is read beside them. */
function harmOf(
  {tier, promptTokens}: StreamDemand,
  upstream: UpstreamOutlook,
  times: ServiceTimes,
): number {
  const readTokens = Math.min(promptTokens, MAX_READ_BETWEEN_EVENTS);
  const pauseMs =
    upstream.factor * (times.eventGapMs() + times.readMs(readTokens));
  if (chanceAbove(upstream.shortestGapMs / pauseMs, upstream, times) === 0) {
    return 0;
  }
  let harm = 0;
  for (const neighbour of upstream.neighbours) {
    const distance = Math.max(
      -MAX_TIER_DISTANCE,
      Math.min(MAX_TIER_DISTANCE, tier - neighbour.tier),
    );
    const limit = neighbour.maxEventGapMs / pauseMs;
    harm += TIER_WEIGHT ** distance * chanceAbove(limit, upstream, times);
  }
  return harm;
}

/** Chance that work there now takes more than `limit` times as long as usual. */
function chanceAbove(
  limit: number,
  {toldSlowdown, slowdownTrust}: UpstreamOutlook,
  {slowdownShareAbove}: ServiceTimes,
): number {
  const told = toldSlowdown > limit ? slowdownTrust : 0;
  return told + (1 - slowdownTrust) * slowdownShareAbove(limit);
}
