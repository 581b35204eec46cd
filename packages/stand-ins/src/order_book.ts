import {z} from 'zod';

const ORDER_SCHEMA = z.object({
  fencingToken: z.number().int(),
  desired: z.record(z.string(), z.unknown()),
});

/** An order with its fencing number. */
export type EngineOrder = z.infer<typeof ORDER_SCHEMA>;

/** Orders that an engine was given. */
export class FencedOrderLog {
  readonly applied: EngineOrder[] = [];
  private highest = 0;

  constructor(private readonly checksFencing: boolean) {}

  /** Takes an order; false when its fencing number is old and is checked. */
  apply(order: unknown): boolean {
    const parsed = ORDER_SCHEMA.parse(order);
    if (this.checksFencing && parsed.fencingToken < this.highest) return false;
    this.highest = Math.max(this.highest, parsed.fencingToken);
    this.applied.push(parsed);
    return true;
  }
}
