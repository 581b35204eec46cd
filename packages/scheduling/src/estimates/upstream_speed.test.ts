import {describe, expect, it} from 'vitest';
import {reportedLoad} from '../test_support/queue_harness.js';
import {SlowdownShares} from './slowdown_shares.js';
import {UpstreamSpeed} from './upstream_speed.js';

describe('UpstreamSpeed', () => {
  describe('lasting speed', () => {
    it('is near the truth after one long prompt', () => {
      const speed = new UpstreamSpeed();
      speed.record(800, 200);
      expect(speed.lastingRatio).toBeGreaterThan(1.5);
      speed.record(800, 200);
      speed.record(800, 200);
      expect(speed.lastingRatio).toBeGreaterThan(2.5);
    });

    it('is hardly moved by a short prompt or by one odd time', () => {
      const speed = new UpstreamSpeed();
      for (let i = 0; i < 20; i++) speed.record(200, 200);
      speed.record(40, 1);
      expect(speed.lastingRatio).toBeLessThan(1.1);
      speed.record(1e9, 200);
      expect(speed.lastingRatio).toBeLessThan(2);
      speed.record(-50, 200);
      expect(speed.lastingRatio).toBeGreaterThan(0.5);
    });
  });

  describe('lasting speed of an upstream that becomes five times as slow', () => {
    it('follows within a few prompts', () => {
      const speed = new UpstreamSpeed();
      for (let i = 0; i < 50; i++) speed.record(200, 200);
      for (let i = 0; i < 8; i++) speed.record(1_000, 200);
      expect(speed.lastingRatio).toBeGreaterThan(3);
    });
  });

  describe('momentary slowdown', () => {
    it('means less as it ages', () => {
      const speed = new UpstreamSpeed();
      speed.recordLoad(reportedLoad({slowdown: 2.5}), 1_000);
      expect(speed.slowdownAt(1_000)).toBeCloseTo(2.5);
      expect(speed.slowdownAt(1_200)).toBeLessThan(2);
      expect(speed.slowdownAt(2_500)).toBeLessThan(1.05);
    });

    it('is bounded, and kept where a load does not tell it', () => {
      const speed = new UpstreamSpeed();
      speed.recordLoad(reportedLoad({slowdown: 1e6}), 0);
      expect(speed.slowdownAt(0)).toBe(8);
      speed.recordLoad(reportedLoad({slowdown: 0}), 0);
      expect(speed.slowdownAt(0)).toBe(0.5);
      expect(speed.recordLoad(reportedLoad({}), 0)).toBeNull();
      expect(speed.recordLoad(null, 0)).toBeNull();
      expect(speed.slowdownAt(0)).toBe(0.5);
    });
  });
});

describe('SlowdownShares', () => {
  it('tells how often work takes longer than a limit', () => {
    const shares = new SlowdownShares();
    for (let i = 0; i < 400; i++) shares.observe(i % 5 === 0 ? 2.5 : 1);
    expect(shares.shareAbove(0.9)).toBe(1);
    expect(shares.shareAbove(1.5)).toBeCloseTo(0.2, 1);
    expect(shares.shareAbove(3)).toBe(0);
  });
});
