import type {Clock, Logger} from '@fescuespool/common';
import type {
  LimitStatement,
  NamedLimits,
  Placement,
  UpstreamLimits,
  UpstreamSpec,
} from '@fescuespool/scheduling';

/** Records what upstreams tell this gateway about their limits. */
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
    return this.limits.statementsTo(this.memberId, nowMs).filter(namesLimit)
      .length;
  }

  /**
   * Records the limits that a response names. The request's send time is in
   * monotonic milliseconds.
   */
  recordResponse(
    {upstream, rateLimitPerS}: Placement,
    limits: NamedLimits,
    request: {readonly requestId: string; readonly sentAtMs: number},
  ): void {
    const {instanceId, startedAtUnixMs} = upstream;
    const before = this.statementOf(upstream);
    const wasLimited = before !== null && namesLimit(before);
    const isLimited = wasLimited || rateLimitPerS !== null;
    if (!namesLimit(limits) && !isLimited) return;
    const hasChanged = this.limits.record(this.memberId, {
      instanceId,
      startedAtUnixMs,
      ...limits,
      // A response may be older than one that arrived before it, unless its
      // request was sent after that.
      statedAtMs: namesLimit(limits)
        ? this.clock.monotonicMs()
        : request.sentAtMs,
    });
    const {perSecond, maxRejectionsPerS} = limits;
    // The dispatcher must hear at once that a limit which others told it is over.
    if (hasChanged || perSecond !== rateLimitPerS) this.onChange(instanceId);
    if (!hasChanged) return;
    this.log.info('upstream_limit_changed', {
      id: request.requestId,
      upstream: instanceId,
      perSecond: perSecond ?? 'none',
      before: before?.perSecond ?? 'none',
      maxRejectionsPerS: maxRejectionsPerS ?? undefined,
    });
  }

  /** Limit in requests per second that an upstream last told this gateway. */
  limitToldBy(upstream: UpstreamSpec): number | null {
    return this.statementOf(upstream)?.perSecond ?? null;
  }

  private statementOf(upstream: UpstreamSpec): LimitStatement | null {
    const nowMs = this.clock.monotonicMs();
    return this.limits.statementTo(this.memberId, upstream, nowMs);
  }
}

function namesLimit({perSecond, maxRejectionsPerS}: NamedLimits): boolean {
  return perSecond !== null || maxRejectionsPerS !== null;
}
