import {LRUCache} from 'lru-cache';
import {MAX_PAUSED_GATEWAYS, MAX_PAUSED_UPSTREAMS} from './constants.js';
import type {UpstreamLife} from './upstream_limits.js';
import {upstreamLifeKey} from './upstream_limits.js';

/** A pause that an upstream asked of one gateway. */
export interface UpstreamPause extends UpstreamLife {
  /** Monotonic milliseconds. */
  readonly untilMs: number;
}

/** What upstreams asked of one gateway. */
interface GatewayPauses {
  readonly byUpstream: LRUCache<string, UpstreamPause>;
  /** End of its last pause. */
  lastEndMs: number;
}

/** For how long upstreams want no requests from which gateways. */
export class UpstreamPauses {
  private readonly byGateway = new LRUCache<string, GatewayPauses>({
    max: MAX_PAUSED_GATEWAYS,
  });
  /** End of the last pause of any gateway. */
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
    const pauses: GatewayPauses = this.byGateway.get(gatewayId) ?? {
      byUpstream: new LRUCache({max: MAX_PAUSED_UPSTREAMS}),
      lastEndMs: -Infinity,
    };
    const {byUpstream} = pauses;
    const key = upstreamLifeKey({instanceId, startedAtUnixMs});
    const knownUntilMs = Math.max(nowMs, byUpstream.get(key)?.untilMs ?? nowMs);
    if (untilMs <= knownUntilMs) return 0;
    byUpstream.set(key, {instanceId, startedAtUnixMs, untilMs});
    pauses.lastEndMs = Math.max(pauses.lastEndMs, untilMs);
    this.lastEndMs = Math.max(this.lastEndMs, untilMs);
    this.byGateway.set(gatewayId, pauses);
    return untilMs - knownUntilMs;
  }

  /** Whether any gateway is to pause. */
  isInForce(nowMs: number): boolean {
    return nowMs < this.lastEndMs;
  }

  /** Whether any upstream wants no requests from a gateway. */
  hasPauses(gatewayId: string, nowMs: number): boolean {
    return this.inForceFor(gatewayId, nowMs) !== null;
  }

  /** Milliseconds until an upstream wants requests from a gateway again, or 0. */
  waitMs(gatewayId: string, upstream: UpstreamLife, nowMs: number): number {
    const pause = this.inForceFor(gatewayId, nowMs)?.byUpstream.get(
      upstreamLifeKey(upstream),
    );
    return pause ? Math.max(0, pause.untilMs - nowMs) : 0;
  }

  /** The pauses of a gateway that have not ended. */
  pausesOf(gatewayId: string, nowMs: number): UpstreamPause[] {
    const pauses = this.inForceFor(gatewayId, nowMs);
    if (!pauses) return [];
    return [...pauses.byUpstream.values()].filter(
      ({untilMs}) => nowMs < untilMs,
    );
  }

  private inForceFor(gatewayId: string, nowMs: number): GatewayPauses | null {
    // Asked for each upstream at each placement; mostly there are none.
    if (!this.isInForce(nowMs)) return null;
    const pauses = this.byGateway.get(gatewayId);
    return pauses && nowMs < pauses.lastEndMs ? pauses : null;
  }
}
