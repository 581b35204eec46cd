import {MIN_RETRY_AFTER_MS} from '@fescuespool/scheduling';
import {GATEWAY_REFUSAL} from './constants.js';
import {createStoppingRefusal, GatewayRefusalError} from './errors.js';
import type {RequestTimer} from './request_timer.js';

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
