import type {Logger} from '@fescuespool/common';
import type {
  RolloutBounds,
  RolloutOrder,
  RolloutRecord,
  RolloutStep,
  UpstreamSpec,
  VersionGate,
} from '@fescuespool/scheduling';
import {
  barsVersion,
  closedGate,
  MAX_BARRED_VERSIONS,
  OPEN_GATE,
  ROLLOUT_STATE,
  RolloutTrial,
} from '@fescuespool/scheduling';
import type {RolloutStore, StoredRollout} from './rollout_store.js';
import {isLaterPosition, isSameOrder, mergeRecords} from './rollout_store.js';

/** What the roll-out of a service needs from its gateway. */
export interface ServiceRolloutOptions {
  readonly service: string;
  readonly bounds: RolloutBounds;
  readonly log: Logger;
  readonly store: RolloutStore;
  readonly nowMs: () => number;
  /** Registered upstreams of the service. */
  readonly upstreams: () => readonly UpstreamSpec[];
  /** Whether this member owns the queue of the service. */
  readonly isOwner: () => boolean;
  /** Whether a member that can't be reached may own it as well. */
  readonly mayHaveOtherOwner: () => boolean;
}

/**
 * The roll-out of one service as a member knows it. The owner of the service's
 * queue tries the target and writes the record; the others go by that.
 */
export class ServiceRollout {
  private order: RolloutOrder | null = null;
  private orderedAtMs = 0;
  /** Whether only the target's version served when the order came. */
  private isServedByTarget = false;
  private known: StoredRollout | null = null;
  /** Whether the store may lack what is known. */
  private isStale = false;
  /** Whether the record must be read before it is written. */
  private needsRead = true;
  private isBusy = false;
  private hasFailed = false;
  private trial: RolloutTrial | null = null;

  constructor(private readonly options: ServiceRolloutOptions) {}

  /** Whether there is anything to decide or to write. */
  get isOpen(): boolean {
    const {order, known} = this;
    if (known?.record.state === ROLLOUT_STATE.RUNNING || this.isStale) {
      return true;
    }
    return order !== null && !(known && isSameOrder(order, known.record));
  }

  /** The record as it is known here; null without one. */
  get record(): RolloutRecord | null {
    return this.known?.record ?? null;
  }

  /** The trial at the owner of the queue, otherwise null. */
  get currentTrial(): RolloutTrial | null {
    return this.trial;
  }

  /** Takes the operator's order, or null if there is none. */
  setOrder(order: RolloutOrder | null, isNew: boolean): void {
    const {upstreams, nowMs, service, log} = this.options;
    if (order && !(this.order && isSameOrder(order, this.order))) {
      const versions = upstreams().map(({softwareVersion}) => softwareVersion);
      this.isServedByTarget =
        isNew &&
        versions.length > 0 &&
        versions.every(version => version === order.target);
      this.orderedAtMs = nowMs();
      log.info('rollout_ordered', {service, ...order});
    }
    if (!order && this.order) log.info('rollout_order_gone', {service});
    this.order = order;
    if (this.trial) this.trial.isOrdered = this.isOrdered;
  }

  /** Takes the record that the store has; null if it has none. */
  setStored(stored: StoredRollout | null): void {
    const {known} = this;
    if (!stored) {
      if (known) this.isStale = true;
      this.needsRead = true;
    } else if (!known || isLaterPosition(stored, known)) this.take(stored);
  }

  /** Decides which versions may get requests from this member's queue. */
  get gate(): VersionGate {
    if (this.trial) return this.trial;
    if (!this.order && !this.known) return OPEN_GATE;
    return closedGate(
      spec => this.forbids(spec, false),
      // Other members may hear later that the target has all traffic.
      ({softwareVersion}) =>
        this.record?.state === ROLLOUT_STATE.COMPLETED &&
        softwareVersion === this.record.target,
    );
  }

  /** Whether a request may not be sent to an upstream. */
  forbids({softwareVersion}: UpstreamSpec, isTrial: boolean): boolean {
    const record = this.known?.record;
    if (record && this.bars(record, softwareVersion)) return true;
    if (softwareVersion === null || isTrial) return false;
    const isDecided =
      record !== undefined && (!this.order || isSameOrder(this.order, record));
    if (isDecided) {
      return (
        record.state === ROLLOUT_STATE.RUNNING &&
        softwareVersion === record.target
      );
    }
    return softwareVersion === this.order?.target && !this.isServedByTarget;
  }

  /** Decides and writes what is due; resolves when the store has answered. */
  async step(): Promise<void> {
    if (this.isBusy) return;
    if (!this.options.isOwner()) {
      this.trial = null;
      this.needsRead = true;
      return;
    }
    this.isBusy = true;
    try {
      await this.decideAndWrite();
    } finally {
      this.isBusy = false;
    }
  }

  private get isOrdered(): boolean {
    const {order, known} = this;
    return order !== null && known !== null && isSameOrder(order, known.record);
  }

  private bars(record: RolloutRecord, version: string | null): boolean {
    if (!barsVersion(record, version)) return false;
    if (record.state !== ROLLOUT_STATE.COMPLETED) return true;
    if (record.barredVersions.includes(version ?? '')) return true;
    // Without an upstream of the new version, an earlier one is better than none.
    return this.options
      .upstreams()
      .some(spec => spec.softwareVersion === record.target && !spec.isLeaving);
  }

  private async decideAndWrite(): Promise<void> {
    const {nowMs, mayHaveOtherOwner} = this.options;
    if (this.needsRead && !(await this.read())) return;
    const {order, known} = this;
    if (order && !(known && isSameOrder(order, known.record))) {
      this.trial = null;
      await this.write(this.firstRecord(order), null);
      return;
    }
    if (!known) return;
    if (known.record.state !== ROLLOUT_STATE.RUNNING) {
      this.trial = null;
      if (this.isStale) await this.write(known.record, null);
      return;
    }
    this.trial ??= this.resume(known.record);
    const {trial} = this;
    trial.isOrdered = this.isOrdered;
    const now = nowMs();
    const step = trial.decide(now, mayHaveOtherOwner());
    if (!step && !trial.needsPermit(now) && !this.isStale) return;
    await this.write(trial.plan(step, now), step);
  }

  private resume(record: RolloutRecord): RolloutTrial {
    const {bounds, log, service, nowMs} = this.options;
    const {target, elapsedMs, arrived, permitted, isMoving} = record;
    const fields = {service, target, elapsedMs, arrived, permitted, isMoving};
    log.info('rollout_taken_on', fields);
    return new RolloutTrial(bounds, record, nowMs());
  }

  private firstRecord(order: RolloutOrder): RolloutRecord {
    const {upstreams, nowMs} = this.options;
    const before = this.known?.record;
    const givenUp =
      before && before.state !== ROLLOUT_STATE.COMPLETED ? [before.target] : [];
    const barred = new Set([...(before?.barredVersions ?? []), ...givenUp]);
    barred.delete(order.target);
    const versions = new Set(
      upstreams().map(({softwareVersion}) => softwareVersion ?? ''),
    );
    const servingVersions = [...versions].filter(
      version => version !== order.target && !barred.has(version),
    );
    const isDone = this.isServedByTarget && servingVersions.length === 0;
    return {
      ...order,
      state: isDone ? ROLLOUT_STATE.COMPLETED : ROLLOUT_STATE.RUNNING,
      isMoving: false,
      elapsedMs: Math.round(nowMs() - this.orderedAtMs),
      arrived: 0,
      permitted: 0,
      servingVersions,
      barredVersions: [...barred].slice(-MAX_BARRED_VERSIONS),
      reason: isDone ? 'the version serves alone already' : 'ordered',
      routes: [],
    };
  }

  private take(stored: StoredRollout): void {
    const {known, order} = this;
    const record = known
      ? mergeRecords(known.record, stored.record, order)
      : stored.record;
    this.known = {...stored, record};
    this.isStale = record !== stored.record;
    this.trial?.adopt(record, this.options.nowMs());
    if (record.state !== ROLLOUT_STATE.RUNNING) this.trial = null;
  }

  private async read(): Promise<boolean> {
    const {store, service} = this.options;
    const read = await store.read(service);
    if (read.isErr()) {
      this.logFailure(read.error.message);
      return false;
    }
    this.needsRead = false;
    if (read.value) this.take(read.value);
    else if (this.known) {
      this.known = {...this.known, revision: null};
      this.isStale = true;
    }
    return true;
  }

  private async write(
    planned: RolloutRecord,
    step: RolloutStep | null,
  ): Promise<void> {
    const {store, service, nowMs, upstreams} = this.options;
    const {trial} = this;
    const exposures = trial?.unrecordedExposures ?? 0;
    const record = {
      ...planned,
      servingVersions:
        step?.state === ROLLOUT_STATE.COMPLETED
          ? otherVersions(upstreams(), planned)
          : planned.servingVersions,
    };
    const sentAtMs = nowMs();
    const revision = this.known?.revision ?? null;
    const written = await store.write(service, record, revision);
    if (written.isErr()) {
      this.needsRead = true;
      this.logFailure(written.error.message);
      return;
    }
    this.hasFailed = false;
    this.isStale = false;
    this.known = {...written.value, record};
    trial?.confirm(record, exposures, sentAtMs);
    if (step || !trial) this.logStep(record);
    if (record.state !== ROLLOUT_STATE.RUNNING) this.trial = null;
  }

  private logStep(record: RolloutRecord): void {
    const {service, log} = this.options;
    const {target, state, isMoving, reason} = record;
    const {elapsedMs, durationMs, arrived, permitted, routes} = record;
    log.info('rollout_step', {
      service,
      target,
      state,
      isMoving,
      reason,
      elapsedMs,
      durationMs,
      arrived,
      permitted,
      routes: JSON.stringify(
        routes.map(({route, good, bad}) => `${route}:${good}/${bad}`),
      ),
    });
  }

  /** Logs the first failure of several. */
  private logFailure(err: string): void {
    if (this.hasFailed) return;
    this.hasFailed = true;
    const {service, log} = this.options;
    log.warn('rollout_not_written', {service, err});
  }
}

function otherVersions(
  upstreams: readonly UpstreamSpec[],
  {target, servingVersions}: RolloutRecord,
): string[] {
  const versions = new Set(servingVersions);
  for (const {softwareVersion} of upstreams) {
    if (softwareVersion !== null) versions.add(softwareVersion);
  }
  versions.delete(target);
  return [...versions];
}
