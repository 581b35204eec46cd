import type {EndReport, GrantRequest, UpstreamSpec} from '../types.js';
import type {JudgedAnswer} from './answer_judge.js';
import {AnswerJudge} from './answer_judge.js';
import {ROLLOUT_STATE} from './constants.js';
import {ExposurePermit} from './exposure_permit.js';
import {TrialUpstreams} from './trial_upstreams.js';
import type {
  ObservedUpstream,
  RolloutBounds,
  RolloutRecord,
  RolloutState,
  VersionGate,
} from './types.js';
import {VersionTest} from './version_test.js';

/** Milliseconds that a move needs beyond the longest recent answer. */
const MOVE_MARGIN_MS = 500;

/** Times the longest recent answer that a move may take. */
const MOVE_TIMES = 1.5;

/** Largest share of the time that is kept for the move. */
const MAX_MOVE_SHARE = 0.5;

/** Milliseconds before the end of the time at which it is decided. */
const LAST_WRITE_MS = 250;

/** Evidence by which a route may be ahead of the least proven one. */
const MAX_AHEAD = 0.8;

/** Requests of a permit that are kept for the least proven routes. */
const KEPT_FOR_UNPROVEN = 4;

/** What a trial wants to be written. */
export interface RolloutStep {
  readonly state: RolloutState;
  readonly isMoving: boolean;
  readonly reason: string;
}

/** Tries a version beside those that serve, and decides what becomes of it. */
export class RolloutTrial implements VersionGate {
  readonly isActive = true;
  private readonly permit: ExposurePermit;
  private readonly judge = new AnswerJudge(answer => this.recordAnswer(answer));
  private readonly upstreams: TrialUpstreams;
  private test: VersionTest;
  private verdict: string | null = null;
  private startedAtMs: number;
  /** Routes that have to be proven before the move is completed. */
  private movedRoutes: readonly string[] = [];
  /** Whether general traffic goes to the target. */
  private isMovedNow = false;
  /** Evidence of the least proven route. */
  private leastProof = 0;
  /** Whether the operator's order is there. */
  isOrdered = true;

  constructor(
    private readonly bounds: RolloutBounds,
    private record: RolloutRecord,
    nowMs: number,
  ) {
    this.permit = new ExposurePermit(bounds);
    this.upstreams = new TrialUpstreams(record);
    this.test = new VersionTest(record.routes);
    this.startedAtMs = nowMs - record.elapsedMs;
    this.permit.adopt(record);
    this.movedRoutes = record.routes.map(({route}) => route);
  }

  /** The record as it was last written or read. */
  get current(): RolloutRecord {
    return this.record;
  }

  /** Goes by a record that another owner wrote. */
  adopt(record: RolloutRecord, nowMs: number): void {
    this.record = record;
    this.upstreams.record = record;
    this.permit.adopt(record);
    this.startedAtMs = Math.min(this.startedAtMs, nowMs - record.elapsedMs);
  }

  /** Milliseconds since the order. */
  elapsedMs(nowMs: number): number {
    return Math.max(0, nowMs - this.startedAtMs);
  }

  /** Whether the target's permit is to be renewed. */
  needsPermit(nowMs: number): boolean {
    const {isMoving} = this.record;
    return (
      this.isOrdered && !this.verdict && this.permit.isDue(isMoving, nowMs)
    );
  }

  /** Takes the permit away, as its time may have passed unnoticed. */
  revokePermit(): void {
    this.permit.revoke();
  }

  /** The record to write for a step, or for a permit without one. */
  plan(step: RolloutStep | null, nowMs: number): RolloutRecord {
    return {
      ...this.record,
      ...step,
      ...this.permit.plan(nowMs),
      elapsedMs: Math.round(this.elapsedMs(nowMs)),
      routes: this.test.evidence,
    };
  }

  /** Requests to the target that no record has; to be passed to `confirm`. */
  get unrecordedExposures(): number {
    return this.permit.unrecordedExposures;
  }

  /** Goes by a record that was written. */
  confirm(record: RolloutRecord, exposures: number, sentAtMs: number): void {
    if (record.isMoving && !this.record.isMoving) {
      this.movedRoutes = this.judge.activeRoutes(sentAtMs);
    }
    this.record = record;
    this.upstreams.record = record;
    this.permit.confirm(record, exposures, sentAtMs);
  }

  /** What is to be done now; null for nothing. */
  decide(nowMs: number, mayHaveOtherOwner: boolean): RolloutStep | null {
    if (this.verdict !== null) return rolledBack(this.verdict);
    this.judge.judgeUntil(nowMs);
    if (this.verdict !== null) return rolledBack(this.verdict);
    const {durationMs, isMoving} = this.record;
    const leftMs = durationMs - this.elapsedMs(nowMs);
    if (!this.isOrdered) {
      return leftMs > 0 ? null : this.rollBack('the order was withdrawn');
    }
    return isMoving
      ? this.decideMove(leftMs, nowMs, mayHaveOtherOwner)
      : this.decideTrial(leftMs, nowMs);
  }

  /** @inheritdoc */
  admits({softwareVersion}: UpstreamSpec): boolean {
    if (this.upstreams.isBarred(softwareVersion)) return false;
    const isTarget = softwareVersion === this.record.target;
    return isTarget === this.isMovedNow;
  }

  /** @inheritdoc */
  admitsBound({softwareVersion}: UpstreamSpec, nowMs: number): boolean {
    if (this.upstreams.isBarred(softwareVersion)) return false;
    if (softwareVersion !== this.record.target) return true;
    return this.mayExpose(nowMs);
  }

  /** @inheritdoc */
  trialUpstreams<T extends {readonly spec: UpstreamSpec}>(
    request: GrantRequest,
    withRoom: readonly T[],
    nowMs: number,
  ): readonly T[] {
    if (request.isRetry || this.isMovedNow || !this.mayExpose(nowMs)) return [];
    const tried = withRoom.filter(({spec}) => this.upstreams.isTried(spec));
    if (tried.length === 0 || !this.isRouteWanted(request.route ?? ''))
      return [];
    return this.judge.canJudge(request) ? tried : [];
  }

  /** @inheritdoc */
  recordGrant(
    request: GrantRequest,
    spec: UpstreamSpec,
    nowMs: number,
  ): boolean {
    const isTarget = spec.softwareVersion === this.record.target;
    if (!request.isRetry) this.permit.recordArrival();
    if (isTarget) this.permit.recordExposure();
    this.judge.begin(request, spec, isTarget, nowMs);
    return isTarget;
  }

  /** @inheritdoc */
  recordEnd(report: EndReport, nowMs: number): void {
    this.judge.end(report, nowMs);
  }

  /** @inheritdoc */
  observe(upstreams: readonly ObservedUpstream[], nowMs: number): void {
    this.upstreams.observe(upstreams);
    this.upstreams.rotate(this.bounds.exposeShare, this.elapsedMs(nowMs));
    const routes = this.judge.activeRoutes(nowMs);
    this.leastProof = Math.min(...routes.map(route => this.proofOf(route)));
    const {isMoving} = this.record;
    this.isMovedNow =
      isMoving &&
      this.permit.allows(true, nowMs) &&
      this.verdict === null &&
      this.upstreams.targetSlots > 0;
  }

  private mayExpose(nowMs: number): boolean {
    return (
      this.isOrdered &&
      this.verdict === null &&
      this.record.state === ROLLOUT_STATE.RUNNING &&
      this.permit.allows(this.record.isMoving, nowMs)
    );
  }

  private decideTrial(leftMs: number, nowMs: number): RolloutStep | null {
    const {durationMs} = this.record;
    const moveMs = Math.min(
      MAX_MOVE_SHARE * durationMs,
      MOVE_TIMES * this.judge.longestMs + MOVE_MARGIN_MS,
    );
    if (leftMs > moveMs) return null;
    const routes = this.judge.activeRoutes(nowMs);
    const unproven = this.unproven(routes, false, nowMs);
    this.permit.isLast = unproven.length > 0;
    const lack =
      routes.length === 0
        ? 'no answers to compare with'
        : unproven.length > 0
          ? `too few answers on ${unproven.join(',')}`
          : this.upstreams.lacksSlots
            ? `upstreams of the version have ${this.upstreams.targetSlots} slots`
            : null;
    if (lack === null) {
      const reason = 'proven on all routes with traffic';
      return {state: ROLLOUT_STATE.RUNNING, isMoving: true, reason};
    }
    return leftMs > LAST_WRITE_MS ? null : this.rollBack(`time over: ${lack}`);
  }

  private decideMove(
    leftMs: number,
    nowMs: number,
    mayHaveOtherOwner: boolean,
  ): RolloutStep | null {
    if (this.upstreams.targetSlots === 0 && this.upstreams.isObserved) {
      const reason = 'the version has no upstream left';
      return {state: ROLLOUT_STATE.RUNNING, isMoving: false, reason};
    }
    if (this.upstreams.runningBefore > 0 || !this.isMovedNow) return null;
    const isLast = leftMs <= LAST_WRITE_MS;
    if (mayHaveOtherOwner && !isLast) return null;
    if (this.unproven(this.movedRoutes, !isLast, nowMs).length > 0) return null;
    const reason = 'nothing runs at an earlier version';
    return {state: ROLLOUT_STATE.COMPLETED, isMoving: true, reason};
  }

  private unproven(
    routes: readonly string[],
    isMoving: boolean,
    nowMs: number,
  ): string[] {
    return this.test.unproven(routes, isMoving, route =>
      this.judge.lateCount(route, nowMs),
    );
  }

  private rollBack(reason: string): RolloutStep {
    this.verdict = reason;
    this.isMovedNow = false;
    return rolledBack(reason);
  }

  private isRouteWanted(route: string): boolean {
    return (
      this.proofOf(route) <= this.leastProof + MAX_AHEAD ||
      this.permit.requestsLeft > KEPT_FOR_UNPROVEN
    );
  }

  private proofOf(route: string): number {
    return this.test.proofOf(route, this.judge.openCount(route));
  }

  private recordAnswer({
    route,
    instanceId,
    isBad,
    expectedShare,
  }: JudgedAnswer): void {
    if (this.upstreams.isSetAside(instanceId)) return;
    this.upstreams.recordAnswer(instanceId, isBad);
    this.test.record(route, isBad, expectedShare);
    const alarmedBy = this.test.alarmedBy;
    if (alarmedBy === null || this.verdict !== null) return;
    if (!this.test.isBeyondDoubt && this.upstreams.setAsideWorst()) {
      this.test.clearAlarm();
      return;
    }
    const where = alarmedBy === '*' ? 'all routes' : `route ${alarmedBy}`;
    this.rollBack(`bad answers on ${where}`);
  }
}

function rolledBack(reason: string): RolloutStep {
  return {state: ROLLOUT_STATE.ROLLED_BACK, isMoving: false, reason};
}
