import type {FleetPlan, UpstreamPlan} from './fleet.js';
import {accountKeyHash} from './fleet.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Accounts of the local fleet with their tiers. */
export const LOCAL_ACCOUNTS = {
  customs: {tier: 'critical', weight: 2},
  tariffs: {tier: 'high', weight: 1},
  suppliers: {tier: 'normal', weight: 1},
  archive: {tier: 'low', weight: 1},
  yard: {tier: 'high', weight: 1},
} as const;

/** Speeds of the unlike model engines of the local fleet. */
const ENGINE_SPEEDS = [
  {slots: 6, prefillTokensPerSecond: 8_000, decodeTokensPerSecond: 80},
  {slots: 4, prefillTokensPerSecond: 4_000, decodeTokensPerSecond: 50},
  {slots: 4, prefillTokensPerSecond: 2_500, decodeTokensPerSecond: 40},
] as const;

/** Makes the configuration of a fleet without its upstreams. */
export function makeFleetConfig(
  accounts: Readonly<Record<string, {tier: string; weight: number}>>,
): Record<string, unknown> {
  const clientAccounts: Record<string, object> = {};
  for (const [id, account] of Object.entries(accounts)) {
    clientAccounts[id] = {...account, keyHashes: [accountKeyHash(id)]};
  }
  return {
    tiers: ['critical', 'high', 'normal', 'low'].map(name => ({name})),
    zones: Object.fromEntries(ZONES.map(zone => [zone, {region: 'local'}])),
    services: {
      assist: {kind: 'model'},
      ledger: {
        kind: 'application',
        nonIdempotent: [{method: 'POST', pathPrefix: '/bookings'}],
      },
    },
    clientAccounts,
  };
}

/** Four daemons and six upstreams in three availability zones. */
export function localFleetPlan(overrides: Partial<FleetPlan> = {}): FleetPlan {
  const models = ENGINE_SPEEDS.map((speed, index): UpstreamPlan => {
    const {slots, ...settings} = speed;
    return {
      id: `engine-${index + 1}`,
      kind: 'model',
      service: 'assist',
      zone: ZONES[index % ZONES.length]!,
      slots,
      settings: {...settings, cacheTokens: 16_384},
    };
  });
  const applications = ZONES.map((zone, index): UpstreamPlan => ({
    id: `app-${index + 1}`,
    kind: 'application',
    service: 'ledger',
    zone,
    slots: 8,
    settings: {serviceMs: 20},
  }));
  return {
    daemons: [
      {id: 'entry-1', zone: ZONES[0]},
      {id: 'entry-2', zone: ZONES[0]},
      {id: 'entry-3', zone: ZONES[1]},
      {id: 'entry-4', zone: ZONES[2]},
    ],
    upstreams: [...models, ...applications],
    config: makeFleetConfig(LOCAL_ACCOUNTS),
    ...overrides,
  };
}
