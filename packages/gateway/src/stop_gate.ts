import type {Clock, Logger} from '@fescuespool/common';
import type {StoppableRequest} from './stop_ends.js';
import {StopEnds} from './stop_ends.js';
import type {OpenRequest} from './open_request.js';
import type {RequestTimer} from './request_timer.js';
import type {RunTimes, StartInputs} from './stop_policy.js';
import {latestStartMs} from './stop_policy.js';

const US_PER_MS = 1_000;

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
  private readonly open = new Map<RequestTimer, StoppableRequest>();
  private ends: StopEnds | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly runTimes: RunTimes,
  ) {}

  /** Number of requests that had to be ended before the end of the grace. */
  get endedEarly(): number {
    return this.ends?.endedEarly ?? 0;
  }

  /** Share of a core that was measured last in a stop; 1 before one. */
  get coreShare(): number {
    return this.ends?.coreShare ?? 1;
  }

  /** Whether the process stops and gets too little of a core for what can wait. */
  get isShortOfCore(): boolean {
    return this.ends?.isShortOfCore ?? false;
  }

  /**
   * Begins the grace, at whose end all is answered; the process is ended by force
   * at `exitAtMs`. Both are monotonic times in milliseconds.
   */
  beginGrace(endsAtMs: number, exitAtMs: number): void {
    const {clock, log, open} = this;
    this.endsAtMs = endsAtMs;
    this.ends = new StopEnds(clock, log, open, exitAtMs, usedCpuMs);
    for (const timer of this.open.keys()) this.limit(timer);
    for (const wait of this.waits) this.limitWait(wait);
  }

  /** Ends the grace. */
  close(): void {
    this.ends?.close();
  }

  /** Ends a request with the grace, at the latest. */
  add(timer: RequestTimer, request: StoppableRequest): void {
    this.open.set(timer, request);
    this.ends?.measure();
    if (this.endsAtMs < Infinity) this.limit(timer);
  }

  /** Forgets a request that has ended. */
  remove(timer: RequestTimer): void {
    this.open.delete(timer);
    this.ends?.measure();
  }

  /** Whether a request may begin now. */
  mayBegin(request: OpenRequest): boolean {
    if (this.endsAtMs === Infinity) return true;
    if (request.res.writableEnded) return false;
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
    this.ends?.measure();
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
    const leftMs = this.endsAtMs - this.clock.monotonicMs();
    timer.limitByStop(leftMs, () => this.ends?.end(timer));
  }

  private inputsFor({admission, timer}: OpenRequest): StartInputs {
    return {
      graceLeftMs: this.endsAtMs - this.clock.monotonicMs(),
      timeLimitLeftMs: timer.ownRemainingMs,
      expectedRunMs: this.runTimes.expectedMs(admission.route),
    };
  }
}

/** Processor time in milliseconds that the process has used. */
function usedCpuMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / US_PER_MS;
}
