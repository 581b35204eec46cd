import type {Clock, Logger} from '@fescuespool/common';
import type {GatewayMetrics} from './gateway_metrics.js';
import {HeadBudget} from './head_budget.js';

/** Part of a budget that the heads of requests hold at most. */
const HEAD_SHARE = 0.25;

/** Part of a budget that bodies hold at least before any of them is dropped. */
const BODY_SHARE = 0.5;

/** Bodies of less than this part of the largest one are not dropped for it. */
const LARGE_RATIO = 0.5;

/** Time in milliseconds without a byte after which a body counts as stalled. */
export const STALLED_BODY_MS = 1_000;

/** The response whose bytes are held, for the log, and how to give it up. */
export interface HeldResponse {
  readonly requestId: string;
  readonly upstreamId: string;
  /** Closes its connection. */
  readonly abort: () => void;
}

/** The body of a request that is being read, and how to refuse the request. */
export interface HeldBody {
  readonly requestId: string;
  /** Client account; empty for requests without one. */
  readonly owner: string;
  readonly abort: () => void;
}

/** What one request holds, as plain data. */
export interface Holding {
  readonly kind: 'body' | 'response';
  readonly bytes: number;
  /** Whether it may be in use, so that it is not given up any more. */
  readonly isComplete: boolean;
  /** Client account whose body it is; empty without one. */
  readonly owner: string;
  /** Bytes of it that have come. */
  readonly received: number;
  /** When the last of these came, in monotonic milliseconds. */
  readonly movedMs: number;
}

/**
 * Chooses what is given up when too much is held; null if all is in use. Bodies go
 * first once they hold more than their half of the budget: of the large ones of the
 * account that holds the most, the one that has stalled with the most for the
 * longest, else the one that lacks the most. Else it is the largest response. For
 * the bytes of heads, which are not among the holdings, no response is given up.
 */
export function chooseDropped<T extends Holding>(
  holdings: Iterable<T>,
  budgetBytes: number,
  nowMs: number,
): T | null {
  const bodies: T[] = [];
  const responses: T[] = [];
  let bodyBytes = 0;
  let heldBytes = 0;
  for (const holding of holdings) {
    const isBody = holding.kind === 'body';
    if (isBody) bodyBytes += holding.bytes;
    heldBytes += holding.bytes;
    if (!holding.isComplete) (isBody ? bodies : responses).push(holding);
  }
  const body = (): T | null => leastPromising(bodies, nowMs);
  const response = (): T | null => maxBy(responses, ({bytes}) => bytes);
  const isBodiesExcess = bodyBytes > BODY_SHARE * budgetBytes;
  if (heldBytes <= budgetBytes) return isBodiesExcess ? body() : null;
  return isBodiesExcess ? (body() ?? response()) : (response() ?? body());
}

function leastPromising<T extends Holding>(
  bodies: readonly T[],
  nowMs: number,
): T | null {
  const owner = largestOwner(bodies);
  const ofOwner = bodies.filter(body => body.owner === owner);
  const largest = maxBy(ofOwner, ({bytes}) => bytes)?.bytes ?? 0;
  const large = ofOwner.filter(({bytes}) => bytes >= LARGE_RATIO * largest);
  const stalledMs = ({movedMs}: T): number => nowMs - movedMs;
  const stalled = large.filter(body => stalledMs(body) >= STALLED_BODY_MS);
  return (
    maxBy(stalled, body => body.bytes * stalledMs(body)) ??
    maxBy(large, ({bytes, received}) => bytes - received)
  );
}

function largestOwner(bodies: readonly Holding[]): string | null {
  const bytesByOwner = new Map<string, number>();
  for (const {owner, bytes} of bodies) {
    bytesByOwner.set(owner, (bytesByOwner.get(owner) ?? 0) + bytes);
  }
  return maxBy([...bytesByOwner], ([, bytes]) => bytes)?.[0] ?? null;
}

function maxBy<T>(
  values: readonly T[],
  weightOf: (value: T) => number,
): T | null {
  let max: T | null = null;
  let maxWeight = -Infinity;
  for (const value of values) {
    const weight = weightOf(value);
    if (weight <= maxWeight) continue;
    max = value;
    maxWeight = weight;
  }
  return max;
}

/** The part of a budget that one request holds. */
export interface BudgetShare {
  /** Whether it was given up for the budget. */
  readonly isDropped: boolean;
  /**
   * Sets the number of bytes that are held and, if fewer have come, of these; it
   * may be given up.
   */
  readonly resize: (bytes: number, received?: number) => void;
  /** Marks what is held as complete: it is not given up any more. */
  readonly complete: () => void;
  /** Returns the bytes. */
  readonly release: () => void;
}

/**
 * Bounds the bytes of heads, bodies and responses that are held for callers, over
 * all of them, so that those without end don't fail the others.
 */
export class CallerBudget {
  /** What heads hold of it. */
  readonly heads: HeadBudget;
  private heldBytes = 0;
  private readonly shares = new Set<Share>();

  constructor(
    /** Bytes that all heads, bodies and responses may hold together. */
    private readonly budgetBytes: number,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly metrics: Pick<
      GatewayMetrics,
      'recordResponseDropped' | 'recordUnruly'
    >,
  ) {
    const headBytes = HEAD_SHARE * budgetBytes;
    this.heads = new HeadBudget(headBytes, () => this.dropExcess());
  }

  /** Number of bytes that bodies and responses hold. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Opens the share of a response, which holds nothing yet. */
  openResponse({requestId, upstreamId, abort}: HeldResponse): BudgetShare {
    return this.open('response', '', abort, bytes => {
      this.logDropped('response_dropped', requestId, upstreamId, bytes);
      this.metrics.recordResponseDropped();
    });
  }

  /** Opens the share of a body, which holds nothing yet. */
  openBody({requestId, owner, abort}: HeldBody): BudgetShare {
    return this.open('body', owner, abort, bytes => {
      this.logDropped('body_dropped', requestId, undefined, bytes);
      this.metrics.recordUnruly('body_dropped');
    });
  }

  private open(
    kind: Holding['kind'],
    owner: string,
    abort: () => void,
    onDropped: (bytes: number) => void,
  ): BudgetShare {
    const drop = (bytes: number): void => {
      onDropped(bytes);
      share.drop();
      abort();
    };
    const share: Share = new Share(
      kind,
      owner,
      this.clock.monotonicMs,
      drop,
      bytes => this.setBytes(share, bytes),
    );
    return share;
  }

  private setBytes(share: Share, bytes: number): void {
    this.heldBytes += bytes - share.bytes;
    share.bytes = bytes;
    if (bytes === 0) this.shares.delete(share);
    else this.shares.add(share);
    this.dropExcess();
  }

  private dropExcess(): void {
    const {budgetBytes, clock, heads} = this;
    while (this.heldBytes + heads.heldBytes > budgetBytes) {
      const dropped = chooseDropped(
        this.shares,
        budgetBytes,
        clock.monotonicMs(),
      );
      if (!dropped) return;
      dropped.giveUp(dropped.bytes);
    }
  }

  private logDropped(
    event: string,
    id: string,
    upstream: string | undefined,
    bytes: number,
  ): void {
    const {heldBytes, budgetBytes} = this;
    this.log.warn(event, {id, upstream, bytes, heldBytes, budgetBytes});
  }
}

class Share implements BudgetShare, Holding {
  bytes = 0;
  isDropped = false;
  isComplete = false;
  received = 0;
  movedMs: number;

  constructor(
    readonly kind: Holding['kind'],
    readonly owner: string,
    private readonly nowMs: () => number,
    readonly giveUp: (bytes: number) => void,
    private readonly setBytes: (bytes: number) => void,
  ) {
    this.movedMs = nowMs();
  }

  resize(bytes: number, received = bytes): void {
    if (received > this.received) this.movedMs = this.nowMs();
    this.received = received;
    if (!this.isDropped && bytes !== this.bytes) this.setBytes(bytes);
  }

  complete(): void {
    this.isComplete = true;
  }

  release(): void {
    this.resize(0);
  }

  drop(): void {
    this.release();
    this.isDropped = true;
  }
}
