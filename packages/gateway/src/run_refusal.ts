import type {QueueRefusal} from '@fescuespool/scheduling';
import {isForWantOfRoom, MIN_RETRY_AFTER_MS} from '@fescuespool/scheduling';
import {GATEWAY_REFUSAL} from './constants.js';
import {
  createStoppingRefusal,
  GatewayRefusalError,
  toGatewayRefusal,
} from './errors.js';
import type {RequestTimer} from './request_timer.js';

/** Share of the time that they have left for which callers wait to come back. */
const RETRY_AFTER_SHARE = 1 / 3;

/** What a queue tells of a request that it refuses. */
interface QueueRefused {
  readonly reason: QueueRefusal;
  readonly retryAfterMs: number;
}

/** Refusals of one request, which say that it did not run only if that is true. */
export class RunRefusals {
  constructor(
    private readonly timer: RequestTimer,
    /** Whether it is certain that no upstream has run the request. */
    private readonly hasNotRun: () => boolean,
  ) {}

  /** A refusal, unless the request may have run. */
  unlessRun(refusal: GatewayRefusalError): GatewayRefusalError {
    return this.hasNotRun() ? refusal : this.upstreamFailed();
  }

  /** A refusal by the queue, with a Retry-After for which callers wait. */
  fromQueue({reason, retryAfterMs}: QueueRefused): GatewayRefusalError {
    const {ownRemainingMs} = this.timer;
    const share = isForWantOfRoom(reason) ? RETRY_AFTER_SHARE : 1;
    const afterMs = Math.min(retryAfterMs, Math.floor(share * ownRemainingMs));
    return this.unlessRun(
      new GatewayRefusalError(toGatewayRefusal(reason), afterMs),
    );
  }

  /** A refusal as the request can't end before the gateway does. */
  tooLate(): GatewayRefusalError {
    return this.unlessRun(createStoppingRefusal());
  }

  /** A refusal at the time limit. */
  timeout(): GatewayRefusalError {
    const {UPSTREAM_TIMEOUT, EXPIRED} = GATEWAY_REFUSAL;
    if (!this.hasNotRun()) return new GatewayRefusalError(UPSTREAM_TIMEOUT);
    return this.timer.endsWithGateway
      ? createStoppingRefusal()
      : new GatewayRefusalError(EXPIRED);
  }

  /** A refusal after the last send. */
  final(): GatewayRefusalError {
    if (this.timer.isOver) return this.timeout();
    const {NOT_ACCEPTED} = GATEWAY_REFUSAL;
    return this.unlessRun(
      new GatewayRefusalError(NOT_ACCEPTED, MIN_RETRY_AFTER_MS),
    );
  }

  private upstreamFailed(): GatewayRefusalError {
    return new GatewayRefusalError(GATEWAY_REFUSAL.UPSTREAM_FAILED);
  }
}
