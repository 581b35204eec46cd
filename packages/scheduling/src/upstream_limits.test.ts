import {describe, expect, it} from 'vitest';
import {
  LIMIT_STATEMENT_TTL_MS,
  LIMIT_SUPERSEDED_AFTER_MS,
} from './constants.js';
import type {LimitStatement} from './upstream_limits.js';
import {limitInForce, NO_LIMITS, UpstreamLimits} from './upstream_limits.js';

const UPSTREAM = {instanceId: 'u', startedAtUnixMs: 1};

function statement(
  statedAtMs: number,
  perSecond: number | null,
): LimitStatement {
  return {...UPSTREAM, ...NO_LIMITS, statedAtMs, perSecond};
}

describe('limitInForce', () => {
  it('is the newest limit that any gateway was told', () => {
    const statements = [statement(10, 5), statement(20, 0.5), statement(15, 9)];
    expect(limitInForce(statements)).toBe(0.5);
  });

  it('is none without a limit', () => {
    expect(limitInForce([])).toBeNull();
    expect(limitInForce([statement(10, null)])).toBeNull();
  });

  it('lasts while one gateway is told none and another the limit', () => {
    const statements = [
      statement(1_000, 2),
      statement(1_000 + LIMIT_SUPERSEDED_AFTER_MS, null),
    ];
    expect(limitInForce(statements)).toBe(2);
  });

  it('ends if the gateways that were told it have not been told it for long', () => {
    const statements = [
      statement(1_000, 2),
      statement(1_001 + LIMIT_SUPERSEDED_AFTER_MS, null),
    ];
    expect(limitInForce(statements)).toBeNull();
  });
});

describe('UpstreamLimits', () => {
  it('ends at once when the only gateway that was told a limit is told none', () => {
    const limits = new UpstreamLimits();
    expect(limits.record('a', statement(10, 2))).toBe(true);
    expect(limits.record('a', statement(11, 2))).toBe(false);
    expect(limits.limitOf(UPSTREAM, 20)).toBe(2);
    expect(limits.record('a', statement(20, null))).toBe(true);
    expect(limits.limitOf(UPSTREAM, 20)).toBeNull();
  });

  it('ignores a response to a request that was sent before the limit was told', () => {
    const limits = new UpstreamLimits();
    limits.record('a', statement(10, 2));
    expect(limits.record('a', statement(9, null))).toBe(false);
    expect(limits.limitOf(UPSTREAM, 20)).toBe(2);
  });

  it('does not limit an upstream that has started again under the same id', () => {
    const limits = new UpstreamLimits();
    limits.record('a', statement(10, 2));
    const restarted = {...UPSTREAM, startedAtUnixMs: 2};
    expect(limits.limitOf(restarted, 20)).toBeNull();
  });

  it('forgets what was said too long ago', () => {
    const limits = new UpstreamLimits();
    limits.record('a', statement(10, 2));
    const nowMs = 11 + LIMIT_STATEMENT_TTL_MS;
    expect(limits.limitOf(UPSTREAM, nowMs)).toBeNull();
    expect(limits.statementsTo('a', nowMs)).toEqual([]);
  });
});
