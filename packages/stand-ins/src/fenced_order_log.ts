import {z} from 'zod';

const ORDER_SCHEMA = z.object({
  fencingToken: z.number().int(),
  desired: z.record(z.string(), z.unknown()),
});

/** A desired state of the engine, with the fencing token of its sender. */
export type EngineOrder = z.infer<typeof ORDER_SCHEMA>;

/** Applies and records the orders that an engine receives. */
export class FencedOrderLog {
  /** Accepted orders, the oldest first. */
  readonly applied: EngineOrder[] = [];
  private maxToken = 0;

  constructor(private readonly checksFencing: boolean) {}

  /**
   * Records an order; returns false if fencing tokens are checked and its token
   * is lower than the highest one so far. Throws if the order is invalid.
   */
  apply(body: unknown): boolean {
    const order = ORDER_SCHEMA.parse(body);
    if (this.checksFencing && order.fencingToken < this.maxToken) return false;
    this.maxToken = Math.max(this.maxToken, order.fencingToken);
    this.applied.push(order);
    return true;
  }
}
