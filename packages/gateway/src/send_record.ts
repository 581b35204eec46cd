import type {BufferedResponse} from './response_body.js';
import type {SendOutcome} from './send_outcome.js';

/** What is known of the sends of one request. */
export class SendRecord {
  /** Number of sends. */
  count = 0;
  /** Sends of which any byte may have reached an upstream. */
  possibleArrivals = 0;
  /** Sends after which the upstream may have run the request. */
  possibleRuns = 0;
  /** Latest error response of an upstream that callers may get. */
  errorResponse: BufferedResponse | null = null;
  private isOpen = false;

  /** Whether an upstream has the request, and no error response is known. */
  get awaitsUpstream(): boolean {
    return this.isOpen && this.errorResponse === null;
  }

  /** Records that a send begins. */
  begin(): void {
    this.count++;
    this.isOpen = true;
  }

  /** Records the end of that send. */
  end({mayHaveArrived, mayHaveRun, errorResponse}: SendOutcome): void {
    this.isOpen = false;
    if (mayHaveArrived) this.possibleArrivals++;
    if (mayHaveRun) this.possibleRuns++;
    if (errorResponse) this.errorResponse = errorResponse;
  }
}
