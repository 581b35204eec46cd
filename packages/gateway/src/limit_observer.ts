import type {Clock, Logger} from '@fescuespool/common';
import type {
  Placement,
  UpstreamLimits,
  UpstreamSpec,
} from '@fescuespool/scheduling';

/** Records what upstreams tell this gateway about the rate that they accept. */
export class LimitObserver {
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly memberId: string,
    private readonly limits: UpstreamLimits,
    /** Called with the instance id of an upstream that told another limit. */
    private readonly onChange: (instanceId: string) => void,
  ) {}

  /** Number of upstreams that last told this gateway a limit. */
  get limitedCount(): number {
    const nowMs = this.clock.monotonicMs();
    return this.limits
      .statementsTo(this.memberId, nowMs)
      .filter(({perSecond}) => perSecond !== null).length;
  }

  /**
   * Records the limit in requests per second that a response names, or null for
   * none. The request's send time is in monotonic milliseconds.
   */
  recordResponse(
    {upstream, rateLimitPerS}: Placement,
    perSecond: number | null,
    request: {readonly requestId: string; readonly sentAtMs: number},
  ): void {
    const {instanceId, startedAtUnixMs} = upstream;
    const before = this.limitToldBy(upstream);
    const isLimited = before !== null || rateLimitPerS !== null;
    if (perSecond === null && !isLimited) return;
    const hasChanged = this.limits.record(this.memberId, {
      instanceId,
      startedAtUnixMs,
      perSecond,
      // A response may be older than one that arrived before it, unless its
      // request was sent after that.
      statedAtMs:
        perSecond === null ? request.sentAtMs : this.clock.monotonicMs(),
    });
    // The dispatcher must hear at once that a limit which others told it is over.
    if (hasChanged || perSecond !== rateLimitPerS) this.onChange(instanceId);
    if (!hasChanged) return;
    this.log.info('upstream_limit_changed', {
      id: request.requestId,
      upstream: instanceId,
      perSecond: perSecond ?? 'none',
      before: before ?? 'none',
    });
  }

  /** Limit in requests per second that an upstream last told this gateway. */
  limitToldBy(upstream: UpstreamSpec): number | null {
    const nowMs = this.clock.monotonicMs();
    const told = this.limits.statementTo(this.memberId, upstream, nowMs);
    return told?.perSecond ?? null;
  }
}
