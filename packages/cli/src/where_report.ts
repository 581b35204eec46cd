/** An upstream as the owner of the queue weighs it. */
export interface WhereUpstream {
  readonly instanceId: string;
  readonly zone: string;
  readonly obstacle: string | null;
  readonly startMs: number;
  readonly costMs: number;
  readonly heldTokens: number;
  readonly freeSlots: number;
}

/** What a request would meet at one service of its route. */
export interface WhereService {
  readonly service: string;
  readonly weight: number;
  readonly owner: string;
  readonly error: string | null;
  readonly queue: {
    readonly outcome: string;
    readonly reason: string;
    readonly chosen: string | null;
    readonly expectedWaitMs: number;
    readonly waiting: number;
    readonly upstreamCount: number;
    readonly upstreams: readonly WhereUpstream[];
  } | null;
}

/** Where a request would go, as a gateway tells it. */
export interface WherePreview {
  readonly gateway: string;
  readonly configVersion: number;
  readonly route: string;
  readonly account: string | null;
  readonly tier: number;
  readonly quotaWaitMs: number;
  readonly services: readonly WhereService[];
}

/** Explanations by the reason that the queue's owner names. */
const REASONS: Readonly<Record<string, string>> = {
  cheapest: 'the lowest cost of the upstreams with room',
  cheapest_though_late:
    'the lowest cost of the upstreams with room; none meets the objective',
  no_room: 'no upstream that it may use has room',
  better_upstream_soon: 'an upstream without room yet would serve it better',
  no_upstream: 'the service has no upstream that stays',
  no_version: 'no upstream has the software version that it needs',
  expired: 'it could not start while its caller waits',
  overloaded: 'the requests before it take longer than its caller waits',
};

/** Columns of `describeUpstream`. */
export const UPSTREAM_HEAD = [
  'upstream',
  'zone',
  'cost ms',
  'start ms',
  'held tokens',
  'free slots',
  'obstacle',
];

/** Says in a few lines what would become of the request at a service. */
export function describeService(
  {gateway, configVersion, route, account, tier, quotaWaitMs}: WherePreview,
  {service, weight, owner, queue, error}: WhereService,
): string {
  const lines = [
    `route ${route} (configuration ${configVersion} at ${gateway}), account ${account ?? 'none'}, tier ${tier}`,
    `service ${service} (weight ${weight}), queue at ${owner}`,
  ];
  if (quotaWaitMs > 0) {
    lines.push(`refused: its account is over its quota for ${quotaWaitMs} ms`);
  }
  if (!queue) lines.push(`the owner did not tell: ${error ?? ''}`);
  else {
    const {outcome, reason, chosen, expectedWaitMs, waiting} = queue;
    const where = chosen === null ? '' : ` at ${chosen}`;
    lines.push(
      `${outcome}${where}: ${REASONS[reason] ?? reason}`,
      `${waiting} requests wait, expected wait ${Math.round(expectedWaitMs)} ms, ${queue.upstreamCount} upstreams`,
    );
  }
  return `${lines.join('\n')}\n`;
}

/** A row of the table of upstreams. */
export function describeUpstream(upstream: WhereUpstream): unknown[] {
  const {instanceId, zone, costMs, startMs, heldTokens} = upstream;
  const times = [Math.round(costMs), Math.round(startMs)];
  const {freeSlots, obstacle} = upstream;
  return [instanceId, zone, ...times, heldTokens, freeSlots, obstacle ?? ''];
}
