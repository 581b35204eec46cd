import {describe, expect, it} from 'vitest';
import {upstream} from './test_support/queue_harness.js';
import {UsageHub} from './token_quota.js';
import {UpstreamLimits} from './upstream_limits.js';
import {UpstreamRateLimiter} from './upstream_rate_limiter.js';

const UPSTREAM = upstream('u');
const WINDOW_MS = 4_000;
const EXCHANGE_INTERVAL_MS = 100;
const SILENCE_TIMEOUT_MS = 1_200;

/** Dispatchers that all grant requests to the same upstream. */
class Dispatchers {
  readonly limiters: UpstreamRateLimiter[];
  readonly limits: UpstreamLimits[];
  readonly grantsMs: number[] = [];
  private readonly hub = new UsageHub(1_000, 1_000);

  constructor(private readonly count: number) {
    this.limits = Array.from({length: count}, () => new UpstreamLimits());
    this.limiters = this.limits.map(limits => new UpstreamRateLimiter(limits));
  }

  /** Lets all grant as often as they may; `isCut` at a time in milliseconds. */
  run(
    perSecond: number,
    untilMs: number,
    isCut: (nowMs: number) => boolean = () => false,
  ): void {
    let cutSinceMs: number | null = null;
    for (let now = 0; now < untilMs; now += 10) {
      cutSinceMs = isCut(now) ? (cutSinceMs ?? now) : null;
      if (now % EXCHANGE_INTERVAL_MS === 0) this.exchange(now, cutSinceMs);
      this.limiters.forEach((limiter, i) => {
        const told = {
          ...UPSTREAM,
          maxRejectionsPerS: null,
          statedAtMs: now,
          perSecond,
        };
        this.limits[i]!.record(`m${i}`, told);
        if (limiter.waitMs(UPSTREAM, now) > 0) return;
        limiter.take(UPSTREAM, now);
        this.grantsMs.push(now);
      });
    }
  }

  /** Most grants in any window. */
  get maxPerWindow(): number {
    const inWindow = (startMs: number): number =>
      this.grantsMs.filter(ms => ms >= startMs && ms < startMs + WINDOW_MS)
        .length;
    return Math.max(...this.grantsMs.map(inWindow));
  }

  private exchange(nowMs: number, cutSinceMs: number | null): void {
    this.limiters.forEach(({ledger}, i) => {
      if (cutSinceMs !== null) {
        if (nowMs - cutSinceMs < SILENCE_TIMEOUT_MS) return;
        ledger.setShare(1 / this.count, nowMs);
        return;
      }
      const usage = ledger.takeUnreported();
      const {others, heard} = this.hub.exchange(`m${i}`, usage, nowMs);
      ledger.applyOthersUsage(others);
      if (heard !== null) ledger.setShare(heard / this.count, nowMs);
    });
  }
}

function allowedPerWindow(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
}

describe('UpstreamRateLimiter', () => {
  for (const perSecond of [0, 0.3, 1.1, 2, 7]) {
    describe(`with a limit of ${perSecond} a second`, () => {
      it('grants about that many from one dispatcher', () => {
        const dispatchers = new Dispatchers(1);
        dispatchers.run(perSecond, 40_000);
        const {length} = dispatchers.grantsMs;
        expect(length).toBeGreaterThanOrEqual(
          Math.floor(0.9 * perSecond * 40) || 1,
        );
        expect(length).toBeLessThanOrEqual(Math.max(4, perSecond * 40) + 1);
      });

      it('keeps two dispatchers that exchange their use within the bound', () => {
        const dispatchers = new Dispatchers(2);
        dispatchers.run(perSecond, 20_000);
        expect(dispatchers.maxPerWindow).toBeLessThanOrEqual(
          allowedPerWindow(perSecond),
        );
      });

      it('keeps two dispatchers that are cut off from each other within the bound', () => {
        const dispatchers = new Dispatchers(2);
        dispatchers.run(perSecond, 24_000, now => now >= 8_000 && now < 16_000);
        expect(dispatchers.maxPerWindow).toBeLessThanOrEqual(
          allowedPerWindow(perSecond),
        );
      });
    });
  }

  it('does not limit an upstream that names no limit', () => {
    const limiter = new UpstreamRateLimiter(new UpstreamLimits());
    for (let i = 0; i < 100; i++) limiter.take(UPSTREAM, 0);
    expect(limiter.waitMs(UPSTREAM, 0)).toBe(0);
    expect(limiter.maxPerMs(UPSTREAM, 0)).toBe(Infinity);
  });
});
