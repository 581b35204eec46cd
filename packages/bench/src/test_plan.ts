import type {DaemonPlan, FleetPlan, UpstreamPlan} from './fleet.js';
import {LOCAL_ACCOUNTS, makeFleetConfig} from './local_plan.js';

/** Sizes of a small fleet for proofs. */
export interface SmallFleetOptions {
  readonly daemons?: number;
  readonly models?: number;
  readonly applications?: number;
  readonly slots?: number;
  readonly serviceMs?: number;
  readonly prefillTokensPerSecond?: number;
  readonly overrides?: Partial<FleetPlan>;
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Makes a small fleet: daemons and upstreams spread over the zones. */
export function smallFleetPlan(options: SmallFleetOptions = {}): FleetPlan {
  const {daemons = 3, models = 2, applications = 2} = options;
  const {slots = 4, serviceMs = 30} = options;
  const {prefillTokensPerSecond = 5_000} = options;
  const zoneOf = (index: number): string => ZONES[index % ZONES.length]!;
  const daemonPlans = Array.from({length: daemons}, (_, index): DaemonPlan => {
    return {id: `entry-${index + 1}`, zone: zoneOf(index)};
  });
  const modelPlans = Array.from({length: models}, (_, index): UpstreamPlan => {
    return {
      id: `engine-${index + 1}`,
      kind: 'model',
      service: 'assist',
      zone: zoneOf(index),
      slots,
      settings: {
        prefillTokensPerSecond,
        decodeTokensPerSecond: 50,
        cacheTokens: 16_384,
      },
    };
  });
  const applicationPlans = Array.from(
    {length: applications},
    (_, index): UpstreamPlan => ({
      id: `app-${index + 1}`,
      kind: 'application',
      service: 'ledger',
      zone: zoneOf(index),
      slots,
      settings: {serviceMs},
    }),
  );
  return {
    daemons: daemonPlans,
    upstreams: [...modelPlans, ...applicationPlans],
    config: makeFleetConfig(LOCAL_ACCOUNTS),
    ...options.overrides,
  };
}
