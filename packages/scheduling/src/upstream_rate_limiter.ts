import {MS_PER_SECOND} from '@fescuespool/common';
import {MIN_RATE_PER_S} from './constants.js';
import type {QuotaLimit} from './token_quota.js';
import {QuotaLedger} from './token_quota.js';
import type {GrantRequest, UpstreamSpec} from './types.js';
import type {UpstreamLimits} from './upstream_limits.js';
import {upstreamLifeKey} from './upstream_limits.js';
import {UpstreamPauses} from './upstream_pauses.js';

/**
 * Keeps the requests of all gateways to an upstream within the rate that it
 * accepts. Each dispatcher charges its grants to a token bucket and deducts those
 * that other dispatchers report, of which there may be several in a partition.
 * Pauses that an upstream asked of one gateway count for that gateway alone.
 */
export class UpstreamRateLimiter {
  /** Buckets of the limited upstreams, in requests. */
  readonly ledger = new QuotaLedger();

  constructor(
    private readonly limits: UpstreamLimits,
    private readonly pauses = new UpstreamPauses(),
  ) {}

  /** Whether an upstream wants no requests from any of the gateways. */
  hasPauses(nowMs: number): boolean {
    return this.pauses.isInForce(nowMs);
  }

  /** Whether any upstream wants no requests from the request's gateway. */
  hasPausesFor({entryId}: GrantRequest, nowMs: number): boolean {
    return this.pauses.hasPauses(entryId, nowMs);
  }

  /** Whether an upstream wants no requests from the request's gateway. */
  isPausedFor(
    {entryId}: GrantRequest,
    upstream: UpstreamSpec,
    nowMs: number,
  ): boolean {
    return this.pauses.waitMs(entryId, upstream, nowMs) > 0;
  }

  /** Milliseconds until an upstream accepts the request; 0 if it does now. */
  waitMsFor(
    {entryId}: GrantRequest,
    upstream: UpstreamSpec,
    nowMs: number,
  ): number {
    return Math.max(
      this.waitMs(upstream, nowMs),
      this.pauses.waitMs(entryId, upstream, nowMs),
    );
  }

  /** Limit in force in requests per second; null for none. */
  limitOf(upstream: UpstreamSpec, nowMs: number): number | null {
    return this.limits.limitOf(upstream, nowMs);
  }

  /**
   * Rejections per second beyond which an upstream crashes; null if it names no
   * such limit.
   */
  maxRejectionsPerS(upstream: UpstreamSpec, nowMs: number): number | null {
    return this.limits.limitOf(upstream, nowMs, 'maxRejectionsPerS');
  }

  /** Requests per millisecond that an upstream accepts; Infinity if unlimited. */
  maxPerMs(upstream: UpstreamSpec, nowMs: number): number {
    const limit = this.limitOf(upstream, nowMs);
    return limit === null ? Infinity : rateOf(limit) / MS_PER_SECOND;
  }

  /** Milliseconds until an upstream accepts another request; 0 if it does now. */
  waitMs(upstream: UpstreamSpec, nowMs: number): number {
    const limit = this.limitOf(upstream, nowMs);
    if (limit === null) return 0;
    return this.ledger.waitMs(bucketOf(upstream), quotaOf(limit), 1, nowMs);
  }

  /** Charges a granted request. */
  take(upstream: UpstreamSpec, nowMs: number): void {
    const limit = this.limitOf(upstream, nowMs);
    if (limit === null) return;
    this.ledger.charge(bucketOf(upstream), quotaOf(limit), 1, nowMs);
  }

  /** Drops the buckets of all upstreams but these. */
  retain(upstreams: Iterable<UpstreamSpec>): void {
    this.ledger.retain(new Set([...upstreams].map(bucketOf)));
  }
}

/** Only requests show whether a limit has ended, so that some must be sent. */
function rateOf(limit: number): number {
  return Math.max(limit, MIN_RATE_PER_S);
}

function quotaOf(limit: number): QuotaLimit {
  return {perSecond: rateOf(limit), burst: 1};
}

/** Name of an upstream's bucket, which no client account can have. */
function bucketOf(upstream: UpstreamSpec): string {
  return `upstream\n${upstreamLifeKey(upstream)}`;
}
