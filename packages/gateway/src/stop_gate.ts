import type {Clock, Logger} from '@fescuespool/common';
import type {OpenRequest} from './open_request.js';
import type {RequestTimer} from './request_timer.js';
import type {RunTimes, StartInputs} from './stop_policy.js';
import {latestStartMs} from './stop_policy.js';

/** A request that waits for an upstream. */
export interface StartWait {
  /** Aborted once the request can't begin any more or its time is over. */
  readonly signal: AbortSignal;
  /** Has to be called when the wait is over. */
  readonly end: () => void;
}

/** A wait, with what ends it while the gateway stops. */
interface OpenWait {
  readonly request: OpenRequest;
  readonly controller: AbortController;
  timer: NodeJS.Timeout | null;
}

/**
 * Lets requests begin only if they can end before the process does. While the
 * gateway doesn't stop, all may begin.
 */
export class StopGate {
  private endsAtMs = Infinity;
  private readonly waits = new Set<OpenWait>();
  /** Timers of the requests that have no complete response. */
  private readonly openTimers = new Set<RequestTimer>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly runTimes: RunTimes,
  ) {}

  /** Begins the grace, at whose end in monotonic milliseconds all is answered. */
  beginGrace(endsAtMs: number): void {
    this.endsAtMs = endsAtMs;
    for (const timer of this.openTimers) this.limit(timer);
    for (const wait of this.waits) this.limitWait(wait);
  }

  /** Ends a request with the grace, at the latest. */
  add(timer: RequestTimer): void {
    this.openTimers.add(timer);
    if (this.endsAtMs < Infinity) this.limit(timer);
  }

  /** Forgets a request that has ended. */
  remove(timer: RequestTimer): void {
    this.openTimers.delete(timer);
  }

  /** Whether a request may begin now. */
  mayBegin(request: OpenRequest): boolean {
    if (this.endsAtMs === Infinity) return true;
    return latestStartMs(this.inputsFor(request)) >= 0;
  }

  /** Logs that a request is not begun any more. */
  logRefusal(request: OpenRequest): void {
    const {graceLeftMs, timeLimitLeftMs, expectedRunMs} =
      this.inputsFor(request);
    this.log.info('start_refused', {
      id: request.head.requestId,
      route: request.admission.route.name,
      graceLeftMs: Math.round(graceLeftMs),
      timeLimitLeftMs: Math.round(timeLimitLeftMs),
      expectedRunMs: expectedRunMs ?? undefined,
    });
  }

  /** Begins the wait of a request for an upstream. */
  wait(request: OpenRequest): StartWait {
    const controller = new AbortController();
    const wait: OpenWait = {request, controller, timer: null};
    const abort = (): void => controller.abort();
    const {signal} = request.timer;
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, {once: true});
    this.waits.add(wait);
    if (this.endsAtMs < Infinity) this.limitWait(wait);
    const end = (): void => {
      signal.removeEventListener('abort', abort);
      this.waits.delete(wait);
      if (wait.timer) clearTimeout(wait.timer);
    };
    return {signal: controller.signal, end};
  }

  private limitWait(wait: OpenWait): void {
    const {request, controller} = wait;
    const leftMs = latestStartMs(this.inputsFor(request));
    if (leftMs === Infinity) return;
    if (leftMs <= 0) {
      controller.abort();
      return;
    }
    wait.timer = setTimeout(() => controller.abort(), Math.ceil(leftMs));
  }

  private limit(timer: RequestTimer): void {
    timer.limitByStop(this.endsAtMs - this.clock.monotonicMs());
  }

  private inputsFor({admission, timer}: OpenRequest): StartInputs {
    return {
      graceLeftMs: this.endsAtMs - this.clock.monotonicMs(),
      timeLimitLeftMs: timer.ownRemainingMs,
      expectedRunMs: this.runTimes.expectedMs(admission.route),
    };
  }
}
