import type {TierQueue} from './tier_queue.js';
import type {UpstreamState} from './upstream_state.js';

/** Snapshot of a cell for operators. */
export interface CellStatus {
  readonly service: string;
  readonly waitingByTier: readonly number[];
  readonly upstreams: ReadonlyArray<{
    readonly id: string;
    readonly health: string;
    readonly running: number;
    readonly slots: number;
    readonly cachedBlocks: number;
    readonly prefillRate: number;
    readonly tokenIntervalMs: number;
  }>;
}

/** Describes a cell for operators. */
export function describeCell(
  service: string,
  tierCount: number,
  queue: TierQueue,
  upstreams: Iterable<UpstreamState>,
): CellStatus {
  const tiers = Array.from({length: tierCount}, (_, rank) => rank);
  return {
    service,
    waitingByTier: tiers.map(rank => queue.waitingCountInTier(rank)),
    upstreams: [...upstreams].map(upstream => ({
      id: upstream.spec.id,
      health: upstream.health,
      running: upstream.runs.size,
      slots: upstream.slotLimit,
      cachedBlocks: upstream.prefixes.size,
      prefillRate: Math.round(upstream.prefillRate),
      tokenIntervalMs: Math.round(upstream.tokenIntervalMs * 10) / 10,
    })),
  };
}
