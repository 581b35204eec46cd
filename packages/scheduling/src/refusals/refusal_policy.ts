import {MAX_RETRY_AFTER_MS, MAX_WAITING, QUEUE_REFUSAL} from '../constants.js';
import type {RateEstimator} from '../placement_rate.js';
import {lackOf} from '../required_version.js';
import {retryAfterMs} from '../retry_after.js';
import type {
  GrantRequest,
  QueueAnswer,
  QueueRefusal,
  UpstreamSpec,
} from '../types.js';
import type {WaitingList} from '../waiting_list.js';
import type {WaitingRequest} from '../waiting_request.js';
import {ArrivalRates} from './arrival_rates.js';
import type {ReturnCounts} from './return_ledger.js';
import {ReturnLedger} from './return_ledger.js';
import {ReturnSchedule} from './return_schedule.js';
import {StartAllowance} from './start_allowance.js';
import type {RateOf} from './wait_forecast.js';
import {ratesBesideArrivals} from './wait_forecast.js';

/**
 * Share of the time that a caller has left for which it waits to come back; a
 * little below the third that HTTP clients allow, as the answer takes time.
 */
const HONOURED_SHARE = 0.32;

/**
 * Maximum number of callers with the same fingerprint to whom room is promised, so
 * that one who repeats a request at once and often doesn't take up that of others.
 */
const MAX_PROMISES_PER_FINGERPRINT = 4;

/** What a policy knows of the queue that it refuses for. */
export interface RefusalContext {
  readonly waiting: WaitingList;
  /** How fast requests are placed at a time in monotonic milliseconds. */
  readonly ratesAt: (nowMs: number) => RateEstimator;
  /** Upstreams that are not leaving. */
  readonly staying: () => readonly UpstreamSpec[];
  /** Called with each request that is refused. */
  readonly onRefused: (request: GrantRequest) => void;
}

/** What would become of a request that asked for admission now. */
export interface RefusalForecast {
  readonly waiting: WaitingRequest;
  /** Null if it would be admitted. */
  readonly refusal: QueueRefusal | null;
  /** Milliseconds until the requests ahead of it are placed. */
  readonly expectedWaitMs: number;
}

/** Rates at which waiting requests are placed at some moment. */
interface Rates {
  readonly rateOf: RateOf;
  /** Whether they may differ by the gateway of the request. */
  readonly differsByGateway: boolean;
}

/**
 * Decides which requests are refused, and when their callers are to come back. A
 * caller that comes back when it was told to goes before the new requests of its
 * tier if room was promised to it.
 */
export class RefusalPolicy {
  private readonly arrivals = new ArrivalRates();
  private readonly returns = new ReturnLedger();
  private readonly schedule = new ReturnSchedule();
  private readonly allowance = new StartAllowance();

  constructor(private readonly context: RefusalContext) {}

  /** What became of those that were told to come back. */
  get returnCounts(): ReturnCounts {
    return this.returns.counts;
  }

  /**
   * Takes up an arriving request and recognises one that was refused before;
   * `idleStartMs` is its time to the first byte on the fastest upstream.
   */
  receive(
    request: GrantRequest,
    answer: (answer: QueueAnswer) => void,
    idleStartMs: number,
    nowMs: number,
  ): WaitingRequest {
    const {patienceLeftMs} = request;
    const startMs = this.allowance.allowanceMs(idleStartMs, patienceLeftMs);
    const told = this.returns.takeKept(request.fingerprint, nowMs);
    const ownObjectiveAtMs = nowMs + request.objectiveLeftMs;
    // The objective counts from the caller's first attempt.
    const objectiveAtMs = told?.objectiveAtMs ?? ownObjectiveAtMs;
    return {
      request,
      answer,
      arrivedAtMs: nowMs,
      objectiveAtMs,
      // Placed later, the request could not start while its caller waits.
      placementDeadlineMs: nowMs + patienceLeftMs - startMs,
      wasRefused: told !== null,
      isPromised: told?.isPromised ?? false,
      shareLevel: 0,
      isLate: told !== null && objectiveAtMs <= nowMs,
    };
  }

  /**
   * What `receive` and `admit` would do with a request that was not refused before;
   * changes nothing. In a full list, it does not tell who would give way.
   */
  forecast(
    request: GrantRequest,
    idleStartMs: number,
    nowMs: number,
  ): RefusalForecast {
    const waiting = this.receive(request, () => undefined, idleStartMs, nowMs);
    const rates = this.ratesAt(nowMs);
    const isFull = this.context.waiting.size >= MAX_WAITING;
    return {
      waiting,
      refusal: isFull
        ? QUEUE_REFUSAL.OVERLOADED
        : this.reasonToRefuse(waiting, rates, nowMs),
      expectedWaitMs: this.expectedWaitMs(waiting, rates),
    };
  }

  /** Adds the time to a first byte; `idleStartMs` is that of `receive`. */
  recordStart(idleStartMs: number, startMs: number): void {
    this.allowance.observe(idleStartMs, startMs);
  }

  /**
   * Refuses a new request that can't be served in time, or another one to make
   * room for it; returns whether it may be queued.
   */
  admit(waiting: WaitingRequest, nowMs: number): boolean {
    const rates = this.ratesAt(nowMs);
    const reason = this.reasonToRefuse(waiting, rates, nowMs);
    if (reason) {
      this.refuse(waiting, reason, rates, nowMs);
      return false;
    }
    this.arrivals.record(waiting.request.tier, nowMs);
    return true;
  }

  /** Refuses requests that can't start in time, or that nothing can serve. */
  refuseUnplaceable(nowMs: number): void {
    const {EXPIRED, OVERLOADED} = QUEUE_REFUSAL;
    const {waiting: list} = this.context;
    const staying = this.context.staying();
    const rates = this.ratesAt(nowMs);
    const unplaceable = list.takeUnplaceable(nowMs, rates.rateOf);
    const unserved = list.takeWhere(
      ({request}) => lackOf(request, staying) !== null,
    );
    for (const waiting of [...unserved, ...unplaceable]) {
      const isExpired = waiting.placementDeadlineMs <= nowMs;
      const reason = isExpired ? EXPIRED : OVERLOADED;
      const lack = lackOf(waiting.request, staying);
      this.refuse(waiting, lack ?? reason, rates, nowMs);
    }
  }

  private reasonToRefuse(
    waiting: WaitingRequest,
    rates: Rates,
    nowMs: number,
  ): QueueRefusal | null {
    const {request, placementDeadlineMs} = waiting;
    const {waiting: list} = this.context;
    const lack = lackOf(request, this.context.staying());
    if (lack) return lack;
    if (placementDeadlineMs <= nowMs) return QUEUE_REFUSAL.EXPIRED;
    if (list.size >= MAX_WAITING) {
      const last = list.takeLastBehind(waiting);
      if (!last) return QUEUE_REFUSAL.OVERLOADED;
      this.refuse(last, QUEUE_REFUSAL.OVERLOADED, rates, nowMs);
    }
    const placedAtMs = nowMs + this.expectedWaitMs(waiting, rates);
    return placedAtMs > placementDeadlineMs ? QUEUE_REFUSAL.OVERLOADED : null;
  }

  /** Answers a request with a refusal and the time at which to come back. */
  private refuse(
    waiting: WaitingRequest,
    reason: QueueRefusal,
    rates: Rates,
    nowMs: number,
  ): void {
    const {request, answer, objectiveAtMs} = waiting;
    const {tier, fingerprint, timeLeftMs, isRetry} = request;
    const rate = rates.rateOf(waiting);
    const earliestMs = retryAfterMs(this.expectedWaitMs(waiting, rates), rate);
    const isForRoom = isForWantOfRoom(reason);
    // What is missing besides room doesn't come back sooner for callers that leave.
    const latestMs =
      timeLeftMs === null || !isForRoom
        ? MAX_RETRY_AFTER_MS
        : HONOURED_SHARE * timeLeftMs;
    // A gateway that seeks another upstream comes back at once, if at all.
    const mayPromise =
      isForRoom &&
      !isRetry &&
      this.returns.promisesOf(fingerprint) < MAX_PROMISES_PER_FINGERPRINT;
    const perMs = mayPromise ? rate.perMs() : 0;
    const wish = {
      tier,
      perMs,
      earliestMs,
      latestMs: Math.min(MAX_RETRY_AFTER_MS, latestMs),
    };
    const {afterMs, isPromised} = this.schedule.book(wish, nowMs);
    if (waiting.wasRefused) this.returns.recordRefusedAgain();
    const atMs = nowMs + afterMs;
    this.returns.recordTold(fingerprint, {atMs, isPromised, objectiveAtMs});
    this.context.onRefused(request);
    answer({kind: 'refused', reason, retryAfterMs: afterMs});
  }

  /** Expected milliseconds until the requests ahead of this one are placed. */
  private expectedWaitMs(waiting: WaitingRequest, rates: Rates): number {
    return this.context.waiting.expectedWaitMs(
      waiting,
      rates.rateOf,
      rates.differsByGateway,
      MAX_RETRY_AFTER_MS,
    );
  }

  private ratesAt(nowMs: number): Rates {
    const rates = this.context.ratesAt(nowMs);
    const rateOf = ratesBesideArrivals(rates, this.arrivals, nowMs);
    return {rateOf, differsByGateway: rates.differsByGateway};
  }
}

/** Whether a request is refused as others take the room, which will be free again. */
export function isForWantOfRoom(reason: QueueRefusal): boolean {
  return (
    reason === QUEUE_REFUSAL.OVERLOADED || reason === QUEUE_REFUSAL.EXPIRED
  );
}
