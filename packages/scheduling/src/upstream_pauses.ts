import {LRUCache} from 'lru-cache';
import {MAX_PAUSED_GATEWAYS, MAX_PAUSED_UPSTREAMS} from './constants.js';
import type {UpstreamLife} from './upstream_limits.js';
import {upstreamLifeKey} from './upstream_limits.js';

/** A pause that an upstream asked of one gateway. */
export interface UpstreamPause extends UpstreamLife {
  /** Monotonic milliseconds. */
  readonly untilMs: number;
}

type Pauses = LRUCache<string, UpstreamPause>;

/** For how long upstreams want no requests from which gateways. */
export class UpstreamPauses {
  private readonly byGateway = new LRUCache<string, Pauses>({
    max: MAX_PAUSED_GATEWAYS,
  });
  /** End of the last pause that is known. */
  private lastEndMs = -Infinity;

  /**
   * Records that an upstream wants no requests from a gateway until then. Returns
   * the milliseconds by which this is longer than known before, or 0.
   */
  record(
    gatewayId: string,
    {instanceId, startedAtUnixMs, untilMs}: UpstreamPause,
    nowMs: number,
  ): number {
    const pauses: Pauses =
      this.byGateway.get(gatewayId) ??
      new LRUCache({max: MAX_PAUSED_UPSTREAMS});
    const key = upstreamLifeKey({instanceId, startedAtUnixMs});
    const knownUntilMs = Math.max(nowMs, pauses.get(key)?.untilMs ?? nowMs);
    if (untilMs <= knownUntilMs) return 0;
    pauses.set(key, {instanceId, startedAtUnixMs, untilMs});
    this.byGateway.set(gatewayId, pauses);
    this.lastEndMs = Math.max(this.lastEndMs, untilMs);
    return untilMs - knownUntilMs;
  }

  /** Whether any gateway is to pause. */
  isInForce(nowMs: number): boolean {
    return nowMs < this.lastEndMs;
  }

  /** Milliseconds until an upstream wants requests from a gateway again, or 0. */
  waitMs(gatewayId: string, upstream: UpstreamLife, nowMs: number): number {
    // Asked for each upstream at each placement; mostly there are none.
    if (!this.isInForce(nowMs)) return 0;
    const pause = this.byGateway.get(gatewayId)?.get(upstreamLifeKey(upstream));
    return pause ? Math.max(0, pause.untilMs - nowMs) : 0;
  }

  /** The pauses of a gateway that have not ended. */
  pausesOf(gatewayId: string, nowMs: number): UpstreamPause[] {
    if (!this.isInForce(nowMs)) return [];
    const pauses = this.byGateway.get(gatewayId);
    if (!pauses) return [];
    return [...pauses.values()].filter(({untilMs}) => nowMs < untilMs);
  }
}
