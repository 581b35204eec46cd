import type {RolloutBounds, RolloutRecord} from './types.js';

/** Share of the bounded exposure that trials use; the move needs the rest. */
const BUDGET_USE = 0.6;

/** The same while a trial lacks answers and its time is nearly over. */
const LAST_BUDGET_USE = 0.8;

/** Longest time in milliseconds after its write was sent that a permit holds. */
const MAX_PERMIT_MS = 1_500;

/**
 * Share of the time for a roll-back that a permit holds at most: a member that
 * others have replaced stops well within it.
 */
const PERMIT_SHARE = 0.3;

/** Milliseconds after which a permit is renewed. */
const PERMIT_RENEWAL_MS = 400;

/** Requests to the target that one permit allows at least, if the bounds do. */
const MIN_BLOCK = 8;

/** Seconds of exposure that one permit allows at most. */
const BLOCK_S = 0.6;

/** Counts the requests to the target and keeps them within their bounds. */
export class ExposurePermit {
  /** Requests that reached the service, as recorded in the store. */
  private recordedArrivals = 0;
  /** Those that this member has seen since. */
  private newArrivals = 0;
  /** Requests to the target that all owners were permitted. */
  private permitted = 0;
  private left = 0;
  private endsAtMs = -Infinity;
  private renewedAtMs = -Infinity;
  /** Requests to the target beyond the permitted ones, as during a move. */
  private unrecorded = 0;

  /** Whether the trial lacks answers and its time is nearly over. */
  isLast = false;

  private readonly permitMs: number;

  constructor(private readonly bounds: RolloutBounds) {
    const shareMs = PERMIT_SHARE * bounds.rollbackMs;
    this.permitMs = Math.min(MAX_PERMIT_MS, shareMs);
  }

  /** Whether the target may get a request; while moving, any number. */
  allows(isMoving: boolean, nowMs: number): boolean {
    return nowMs < this.endsAtMs && (isMoving || this.left > 0);
  }

  /** Requests to the target that the permit still allows. */
  get requestsLeft(): number {
    return this.left;
  }

  /** Requests that reached the service. */
  get arrivals(): number {
    return this.recordedArrivals + this.newArrivals;
  }

  /** Records a request that reached the service. */
  recordArrival(): void {
    this.newArrivals++;
  }

  /** Records a request to the target. */
  recordExposure(): void {
    if (this.left > 0) this.left--;
    else this.unrecorded++;
  }

  /** Whether a permit is due; when used up, as soon as more are allowed. */
  isDue(isMoving: boolean, nowMs: number): boolean {
    if (nowMs - this.renewedAtMs >= PERMIT_RENEWAL_MS) return true;
    return !isMoving && this.left === 0 && this.nextBlock(nowMs) >= MIN_BLOCK;
  }

  /** Counts to record so that a permit is obtained. */
  plan(nowMs: number): Pick<RolloutRecord, 'arrived' | 'permitted'> {
    const permitted = this.permitted + this.unrecorded + this.nextBlock(nowMs);
    return {arrived: this.arrivals, permitted};
  }

  /** Takes a permit that was recorded; `plan` is what was written. */
  confirm(
    plan: Pick<RolloutRecord, 'arrived' | 'permitted'>,
    exposuresAtPlan: number,
    sentAtMs: number,
  ): void {
    const block = plan.permitted - this.permitted - exposuresAtPlan;
    if (sentAtMs >= this.endsAtMs) this.left = 0;
    this.left += Math.max(0, block);
    this.unrecorded = Math.max(0, this.unrecorded - exposuresAtPlan);
    this.newArrivals -= plan.arrived - this.recordedArrivals;
    this.recordedArrivals = plan.arrived;
    this.permitted = plan.permitted;
    this.endsAtMs = sentAtMs + this.permitMs;
    this.renewedAtMs = sentAtMs;
  }

  /** Ends the permit; what is left of it counts as used. */
  revoke(): void {
    this.endsAtMs = -Infinity;
    this.left = 0;
  }

  /** Exposures that no record has yet. */
  get unrecordedExposures(): number {
    return this.unrecorded;
  }

  /** Goes by the counts that another owner has recorded. */
  adopt({arrived, permitted}: RolloutRecord): void {
    // Some of its own may be among the recorded ones.
    this.newArrivals = 0;
    this.recordedArrivals = Math.max(this.recordedArrivals, arrived);
    this.permitted = Math.max(this.permitted, permitted);
  }

  private nextBlock(nowMs: number): number {
    const {exposeShare, exposeSlack} = this.bounds;
    const allowed = Math.floor(
      (this.isLast ? LAST_BUDGET_USE : BUDGET_USE) *
        (exposeSlack + exposeShare * this.arrivals),
    );
    const sinceMs = Math.min(1_000, nowMs - this.renewedAtMs);
    const perS = (this.newArrivals / Math.max(100, sinceMs)) * 1_000;
    const block = Math.max(MIN_BLOCK, Math.ceil(perS * exposeShare * BLOCK_S));
    const unused = nowMs < this.endsAtMs ? this.left : 0;
    const spare = allowed - this.permitted - this.unrecorded;
    return Math.max(0, Math.min(block - unused, spare));
  }
}
