import {describe, expect, it} from 'vitest';
import {chooseForStream} from './stream_choice.js';
import type {
  NeighbourStream,
  ServiceTimes,
  StreamDemand,
  StreamForecast,
  UpstreamOutlook,
} from './stream_outlook.js';
import {forecastStream, startMsOf} from './stream_outlook.js';

const MAX_GAP_MS = 250;

const TIMES: ServiceTimes = {
  baseMs: () => 70,
  readMs: tokens => tokens / 80,
  eventGapMs: () => 17,
  slowdownShareAbove: limit => (limit < 1 ? 1 : limit < 2.5 ? 0.15 : 0),
};

function outlook(changes: Partial<UpstreamOutlook> = {}): UpstreamOutlook {
  const factor = changes.factor ?? 1;
  return {
    factor,
    startFactor: factor,
    toldSlowdown: 1,
    slowdownTrust: 0,
    unreadTokens: 0,
    runMs: 500,
    neighbours: [],
    shortestGapMs: changes.neighbours?.length ? MAX_GAP_MS : Infinity,
    ...changes,
  };
}

function neighbours(count: number, tier: number): NeighbourStream[] {
  return Array.from({length: count}, () => ({tier, maxEventGapMs: MAX_GAP_MS}));
}

const LARGE: StreamDemand = {
  tier: 0,
  promptTokens: 3_720,
  leftMs: 800,
  maxEventGapMs: MAX_GAP_MS,
};
const SHORT: StreamDemand = {...LARGE, tier: 2, promptTokens: 300};

const forecast = (
  demand: StreamDemand,
  changes: Partial<UpstreamOutlook>,
): StreamForecast => forecastStream(demand, outlook(changes), TIMES);

describe('forecastStream', () => {
  describe('first event', () => {
    it('comes after the prompts that are queued there', () => {
      const idleMs = startMsOf(1_000, outlook(), TIMES);
      const queuedMs = startMsOf(1_000, outlook({unreadTokens: 8_000}), TIMES);
      expect(queuedMs - idleMs).toBeCloseTo(100);
    });

    it('is surely in time on a fast upstream, and not behind six prompts on a slow one', () => {
      expect(forecast(LARGE, {}).inTimeChance).toBe(1);
      const queued = {factor: 4.4, unreadTokens: 6 * 3_720};
      expect(forecast(LARGE, queued).inTimeChance).toBe(0);
    });

    it('goes by a slowdown that was told just now, and less by an old one', () => {
      const slow = {factor: 2, toldSlowdown: 8, unreadTokens: 2_000};
      expect(forecast(LARGE, {...slow, slowdownTrust: 1}).inTimeChance).toBe(0);
      expect(
        forecast(LARGE, {...slow, slowdownTrust: 0.1}).inTimeChance,
      ).toBeGreaterThan(0.8);
    });
  });

  describe('pauses of the streams beside it', () => {
    it('do no harm on a fast upstream', () => {
      const {harm} = forecast(LARGE, {neighbours: neighbours(5, 0)});
      expect(harm).toBe(0);
    });

    it('make them late where a large prompt is read on a slow one', () => {
      const slow = {factor: 4.4, neighbours: neighbours(3, 0)};
      expect(forecast(LARGE, slow).harm).toBe(3);
      expect(forecast({...SHORT, tier: 0}, slow).harm).toBeLessThan(1);
    });

    it('count more the higher the tier of a stream there', () => {
      const slow = {factor: 4.4};
      const harmTo = (tier: number): number =>
        forecast(
          {...LARGE, tier: 1},
          {...slow, neighbours: neighbours(1, tier)},
        ).harm;
      expect(harmTo(0)).toBeGreaterThan(harmTo(1));
      expect(harmTo(1)).toBeGreaterThan(harmTo(2));
    });
  });

  it('expects pauses of its own on an upstream that is far too slow', () => {
    expect(forecast(SHORT, {factor: 20}).inTimeChance).toBe(0);
  });
});

describe('chooseForStream', () => {
  const option = (
    target: string,
    costMs: number,
    inTimeChance: number,
    harm = 0,
  ): {target: string; costMs: number; forecast: StreamForecast} => ({
    target,
    costMs,
    forecast: {inTimeChance, harm},
  });
  const soon = {isLate: false, laterChance: 1, leftToPlaceMs: 5_000};
  const never = {...soon, laterChance: 0};
  const late = {...never, isLate: true};

  it('takes the cheaper of two that are in time alike', () => {
    const options = [option('far', 200, 1), option('near', 100, 0.97)];
    expect(chooseForStream(options, never)).toMatchObject({target: 'near'});
  });

  it('waits for room elsewhere rather than being late or making others late', () => {
    expect(chooseForStream([option('slow', 500, 0.4)], soon)).toBe('wait');
    expect(chooseForStream([option('busy', 100, 1, 2)], soon)).toBe('wait');
    expect(chooseForStream([], soon)).toBe('wait');
  });

  it('takes what there is if no later room is in time', () => {
    const options = [option('slow', 500, 0.4)];
    expect(chooseForStream(options, never)).toMatchObject({target: 'slow'});
    expect(chooseForStream([option('s', 500, 0)], never)).toBe('late');
  });

  it('lets a late stream wait where it would make others late', () => {
    expect(chooseForStream([option('busy', 100, 0, 1)], late)).toBe('wait');
    expect(chooseForStream([option('idle', 900, 0)], late)).toMatchObject({
      target: 'idle',
    });
  });

  it('does harm where its caller would leave otherwise', () => {
    const last = {...late, leftToPlaceMs: 100};
    expect(chooseForStream([option('busy', 100, 0, 1)], last)).toMatchObject({
      target: 'busy',
    });
  });
});
