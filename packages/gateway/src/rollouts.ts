import type {Clock, Logger} from '@fescuespool/common';
import {OnDemandInterval} from '@fescuespool/common';
import type {
  RolloutBounds,
  RolloutOrder,
  UpstreamSpec,
  VersionGate,
} from '@fescuespool/scheduling';
import {OPEN_GATE} from '@fescuespool/scheduling';
import type {BootClock} from './config_state.js';
import type {GatewayOptions} from './gateway.js';
import type {MemberDirectory} from './member_directory.js';
import type {RolloutStore, StoredRollout} from './rollout_store.js';
import {ServiceRollout} from './service_rollout.js';
import type {UpstreamRegistry} from './upstream_registry.js';

/** Interval in milliseconds at which open roll-outs are decided. */
const DECISION_INTERVAL_MS = 50;

/** Maximum number of services whose roll-outs are followed. */
const MAX_ROLLOUTS = 1_024;

/** Milliseconds of suspension after which a permit is not trusted. */
const MAX_SUSPENSION_MS = 250;

/** What the roll-outs need from their gateway. */
export interface RolloutsOptions {
  /** Null where the settings name no bounds: there are no roll-outs. */
  readonly bounds: RolloutBounds | null;
  readonly clock: Clock;
  readonly bootClock: BootClock;
  readonly log: Logger;
  /** Null where nothing keeps records. */
  readonly store: RolloutStore | null;
  readonly upstreamsOf: (service: string) => readonly UpstreamSpec[];
  readonly isOwnerOf: (service: string) => boolean;
  readonly mayHaveOtherOwner: () => boolean;
}

/** Creates the roll-outs of a gateway with these members and upstreams. */
export function createRollouts(
  {
    settings,
    clock,
    bootClock,
    log,
    rolloutStore,
  }: Pick<
    GatewayOptions,
    'settings' | 'clock' | 'bootClock' | 'log' | 'rolloutStore'
  >,
  members: MemberDirectory,
  upstreams: UpstreamRegistry,
): Rollouts {
  return new Rollouts({
    bounds: settings.rollout ?? null,
    clock,
    bootClock,
    log,
    store: rolloutStore ?? null,
    upstreamsOf: service => upstreams.byService.get(service) ?? [],
    isOwnerOf: service => members.isOwnerOf(service),
    mayHaveOtherOwner: () => members.suspectedMembers.length > 0,
  });
}

/** Follows the operator's roll-outs and keeps requests to what they allow. */
export class Rollouts {
  private readonly services = new Map<string, ServiceRollout>();
  private readonly interval = new OnDemandInterval(DECISION_INTERVAL_MS, () =>
    this.stepAll(),
  );
  private suspendedMs: number;

  constructor(private readonly options: RolloutsOptions) {
    this.suspendedMs = this.measureSuspended();
  }

  /**
   * Replaces the operator's orders, by service. `isNew` tells that those which
   * are not known have come since this member last knew the upstreams.
   */
  setOrders(orders: ReadonlyMap<string, RolloutOrder>, isNew: boolean): void {
    for (const [service, rollout] of this.services) {
      if (!orders.has(service)) rollout.setOrder(null, isNew);
    }
    for (const [service, order] of orders) {
      this.rolloutOf(service)?.setOrder(order, isNew);
    }
    this.start();
  }

  /** Replaces the records that the store has, by service. */
  setStored(stored: ReadonlyMap<string, StoredRollout>): void {
    for (const [service, rollout] of this.services) {
      if (!stored.has(service)) rollout.setStored(null);
    }
    for (const [service, record] of stored) {
      this.rolloutOf(service)?.setStored(record);
    }
    this.start();
  }

  /** Decides which versions of a service its queue may use. */
  gateOf(service: string): VersionGate {
    const rollout = this.services.get(service);
    if (!rollout) return OPEN_GATE;
    this.revokeAfterSuspension();
    return rollout.gate;
  }

  /** Whether a request to a service may not be sent to an upstream. */
  forbids(
    service: string | undefined,
    spec: UpstreamSpec,
    isTrial: boolean,
  ): boolean {
    if (service === undefined || this.services.size === 0) return false;
    return this.services.get(service)?.forbids(spec, isTrial) ?? false;
  }

  /** The roll-outs by service, for metrics. */
  get all(): ReadonlyMap<string, ServiceRollout> {
    return this.services;
  }

  /** Stops deciding. */
  close(): void {
    this.interval.close();
  }

  private start(): void {
    if ([...this.services.values()].some(({isOpen}) => isOpen)) {
      this.interval.start();
    }
  }

  /** Returns whether any roll-out is open. */
  private stepAll(): boolean {
    this.revokeAfterSuspension();
    let isAnyOpen = false;
    for (const [service, rollout] of this.services) {
      if (!rollout.isOpen) continue;
      isAnyOpen = true;
      rollout.step().catch((e: unknown) =>
        this.options.log.error('rollout_step_threw', {
          service,
          err: String(e),
        }),
      );
    }
    return isAnyOpen;
  }

  /** Takes permits away whose time may have ended while the VM was suspended. */
  private revokeAfterSuspension(): void {
    const suspendedMs = this.measureSuspended();
    if (suspendedMs - this.suspendedMs > MAX_SUSPENSION_MS) {
      for (const rollout of this.services.values()) {
        rollout.currentTrial?.revokePermit();
      }
    }
    this.suspendedMs = suspendedMs;
  }

  private measureSuspended(): number {
    return this.options.bootClock() - this.options.clock.monotonicMs();
  }

  private rolloutOf(service: string): ServiceRollout | null {
    const {bounds, store, log, clock, upstreamsOf, isOwnerOf} = this.options;
    const known = this.services.get(service);
    if (known) return known;
    if (!bounds || !store || this.services.size >= MAX_ROLLOUTS) return null;
    const rollout = new ServiceRollout({
      service,
      bounds,
      log,
      store,
      nowMs: clock.monotonicMs,
      upstreams: () => upstreamsOf(service),
      isOwner: () => isOwnerOf(service),
      mayHaveOtherOwner: this.options.mayHaveOtherOwner,
    });
    this.services.set(service, rollout);
    return rollout;
  }
}
