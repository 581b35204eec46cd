import {LRUCache} from 'lru-cache';
import {isDeepStrictEqual} from 'node:util';
import {
  LIMIT_STATEMENT_TTL_MS,
  LIMIT_SUPERSEDED_AFTER_MS,
  MAX_LIMITED_UPSTREAMS,
} from './constants.js';
import type {UpstreamSpec} from './types.js';

/** Identifies one life of an upstream, which may keep its instance id. */
export type UpstreamLife = Pick<UpstreamSpec, 'instanceId' | 'startedAtUnixMs'>;

/** Limits that an upstream names for all gateways together; null for none. */
export interface NamedLimits {
  /** Requests per second that it accepts. */
  readonly perSecond: number | null;
  /** Rejections for want of room per second beyond which it crashes. */
  readonly maxRejectionsPerS: number | null;
}

/** What an upstream last told one gateway about its limits. */
export interface LimitStatement extends UpstreamLife, NamedLimits {
  /**
   * Monotonic milliseconds: of the response that named the limit, or of the
   * request whose response named none.
   */
  readonly statedAtMs: number;
}

/** Key of one life of an upstream. */
export function upstreamLifeKey({
  instanceId,
  startedAtUnixMs,
}: UpstreamLife): string {
  return `${instanceId}@${startedAtUnixMs ?? ''}`;
}

/** Limits of an upstream that names none. */
export const NO_LIMITS: NamedLimits = {
  perSecond: null,
  maxRejectionsPerS: null,
};

/**
 * The limit that follows from the latest statement to each gateway, per second;
 * null for none. The newest limit counts. A gateway that was told
 * none speaks for itself only, unless the others have not been told a limit for
 * LIMIT_SUPERSEDED_AFTER_MS before.
 */
export function limitInForce(
  statements: Iterable<LimitStatement>,
  name: keyof NamedLimits = 'perSecond',
): number | null {
  let newest: LimitStatement | null = null;
  let endedAtMs = -Infinity;
  for (const statement of statements) {
    if (statement[name] === null) {
      endedAtMs = Math.max(endedAtMs, statement.statedAtMs);
    } else if (!newest || statement.statedAtMs > newest.statedAtMs) {
      newest = statement;
    }
  }
  if (!newest) return null;
  const isSuperseded =
    endedAtMs - newest.statedAtMs > LIMIT_SUPERSEDED_AFTER_MS;
  return isSuperseded ? null : newest[name];
}

/** Statements of upstreams about their limits, by the gateway that was told. */
export class UpstreamLimits {
  private readonly byUpstream = new LRUCache<
    string,
    Map<string, LimitStatement>
  >({max: MAX_LIMITED_UPSTREAMS});

  /**
   * Records what a gateway was told unless something newer is known. Returns
   * whether the limit that it was told has changed.
   */
  record(gatewayId: string, statement: LimitStatement): boolean {
    const key = upstreamLifeKey(statement);
    const statements: Map<string, LimitStatement> =
      this.byUpstream.get(key) ?? new Map();
    const before = statements.get(gatewayId);
    if (before && before.statedAtMs > statement.statedAtMs) return false;
    statements.set(gatewayId, statement);
    this.byUpstream.set(key, statements);
    return !isDeepStrictEqual(limitsOf(before), limitsOf(statement));
  }

  /** The limit in force, per second; null for none. */
  limitOf(
    upstream: UpstreamLife,
    nowMs: number,
    name: keyof NamedLimits = 'perSecond',
  ): number | null {
    // Asked for each upstream at each placement; mostly none has a limit.
    if (this.byUpstream.size === 0) return null;
    const statements = this.byUpstream.get(upstreamLifeKey(upstream));
    if (!statements) return null;
    return limitInForce(
      [...statements.values()].filter(isRecentAt(nowMs)),
      name,
    );
  }

  /** The recent statement of an upstream to a gateway; null for none. */
  statementTo(
    gatewayId: string,
    upstream: UpstreamLife,
    nowMs: number,
  ): LimitStatement | null {
    const statement = this.byUpstream
      .get(upstreamLifeKey(upstream))
      ?.get(gatewayId);
    return statement && isRecentAt(nowMs)(statement) ? statement : null;
  }

  /** The recent statements to a gateway. */
  statementsTo(gatewayId: string, nowMs: number): LimitStatement[] {
    const isRecent = isRecentAt(nowMs);
    const statements: LimitStatement[] = [];
    for (const byGateway of this.byUpstream.values()) {
      const statement = byGateway.get(gatewayId);
      if (statement && isRecent(statement)) statements.push(statement);
    }
    return statements;
  }
}

function limitsOf({
  perSecond,
  maxRejectionsPerS,
}: NamedLimits = NO_LIMITS): NamedLimits {
  return {perSecond, maxRejectionsPerS};
}

function isRecentAt(nowMs: number): (statement: LimitStatement) => boolean {
  return ({statedAtMs}) => nowMs - statedAtMs <= LIMIT_STATEMENT_TTL_MS;
}
