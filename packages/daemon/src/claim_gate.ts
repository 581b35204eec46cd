import {sha256Hex, sleep} from '@fescuespool/common';
import {OUTCOME, REFUSAL_REASON} from '@fescuespool/coordination';
import type {CachedResponse} from '@fescuespool/protocol';
import {CLAIM_STATE, PEER_METHOD, RefusalError} from '@fescuespool/protocol';
import type {
  Claim,
  ClaimStore,
  ClaimedRequest,
  StoredClaim,
} from '@fescuespool/state';
import {CLAIM_OUTCOME} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {z} from 'zod';
import {
  CLAIM_POLL_INTERVAL_MS,
  MAX_CLAIM_AGE_MS,
  MAX_RELEASE_ATTEMPTS,
  PEER_CALL_TIMEOUT_MS,
} from './constants.js';
import {LocalClaims} from './kept_answers.js';

import type {DaemonContext} from './types.js';

const STATUS_SCHEMA = z.object({
  state: z.enum(CLAIM_STATE),
  answer: z
    .object({
      status: z.number().int(),
      headers: z.record(z.string(), z.string()),
      bodyBase64: z.string(),
    })
    .nullable(),
});

type ClaimStatus = z.infer<typeof STATUS_SCHEMA>;

const UNKNOWN_STATUS: ClaimStatus = {
  state: CLAIM_STATE.UNKNOWN,
  answer: null,
};

/** What a request may do about its idempotency key. */
export type ClaimDecision =
  | {readonly mayRun: true; readonly claim: Claim}
  | {readonly mayRun: false; readonly response: CachedResponse};

/** Makes the subject of a claim from a call. */
export function claimSubject(
  accountId: string,
  idempotencyKey: string,
  requestId: string,
  call: {readonly method: string; readonly path: string; readonly body: Buffer},
): ClaimedRequest {
  const bodyHash = sha256Hex(call.body);
  const fingerprint = sha256Hex(`${call.method}\n${call.path}\n${bodyHash}`);
  return {accountId, idempotencyKey, requestId, fingerprint};
}

/**
 * Decides whether a non-idempotent request may run: at most one process ever
 * dispatches under a key, and every other gets that one's answer.
 */
export class ClaimGate {
  readonly localClaims = new LocalClaims();

  constructor(
    private readonly context: DaemonContext,
    private readonly claims: ClaimStore,
  ) {}

  /** Creates the claim of a request, or finds the answer of an earlier one. */
  async acquireClaim(
    subject: ClaimedRequest,
    deadlineAtMs: number,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const {clock} = this.context;
    let released: StoredClaim | null = null;
    while (clock.monotonicMs() < deadlineAtMs && !signal.aborted) {
      const startedAtMs = clock.monotonicMs();
      const attempt = await this.claims.acquire(subject, released);
      released = null;
      if (attempt.outcome === CLAIM_OUTCOME.UNAVAILABLE) {
        if (attempt.possiblyWritten)
          this.releaseClaim(subject, attempt.possiblyWritten);
        throw unavailable(attempt.error.message);
      }
      if (attempt.outcome === CLAIM_OUTCOME.ACQUIRED) {
        const {claim} = attempt;
        const age = clock.monotonicMs() - startedAtMs;
        if (age > MAX_CLAIM_AGE_MS || signal.aborted) {
          // The process was stopped meanwhile; its view is an old one.
          this.releaseClaim(subject, claim);
          throw unavailable('the claim took too long');
        }
        this.localClaims.setState(claim.nonce, CLAIM_STATE.RUNNING);
        return {mayRun: true, claim};
      }
      const {held} = attempt;
      if (held.claim.fingerprint !== subject.fingerprint) throw keyReused();
      const status = await this.statusOf(held.claim);
      if (status.answer) return {mayRun: false, response: status.answer};
      if (status.state === CLAIM_STATE.RELEASED) released = held;
      else if (status.state !== CLAIM_STATE.RUNNING)
        throw heldElsewhere(status);
      else await sleep(CLAIM_POLL_INTERVAL_MS, signal);
    }
    throw new RefusalError(
      REFUSAL_REASON.CLAIM_HELD,
      OUTCOME.MAY_HAVE_RUN,
      'a request with the same key is still running',
    );
  }

  /** Ends a claim with the answer that re-sends get. */
  finishClaim(claim: Claim, answer: CachedResponse | null): void {
    this.localClaims.finish(claim.nonce, answer);
  }

  /** Promises that nothing will be dispatched under a claim, and deletes it. */
  releaseClaim(subject: ClaimedRequest, claim: Claim): void {
    this.localClaims.setState(claim.nonce, CLAIM_STATE.RELEASED);
    void this.releaseUntilDone(subject, claim);
  }

  private async releaseUntilDone(
    subject: ClaimedRequest,
    claim: Claim,
  ): Promise<void> {
    // A write whose answer was lost may land after the first look.
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      const isReleased = await this.claims.release(subject, claim);
      if (isReleased && attempt > 0) return;
      await sleep(CLAIM_POLL_INTERVAL_MS * (attempt + 1));
    }
  }

  private async statusOf(claim: Claim): Promise<ClaimStatus> {
    const {settings, membership, network} = this.context;
    const {holder, nonce} = claim;
    if (holder.memberId === settings.memberId) {
      const state = this.localClaims.stateOf(nonce);
      return {state, answer: this.localClaims.responseOf(nonce)};
    }
    const member = membership.find(holder.memberId);
    if (!member) return UNKNOWN_STATUS;
    const answer = await callPeer(
      network,
      member,
      PEER_METHOD.CLAIM_STATUS,
      {nonce},
      STATUS_SCHEMA,
      PEER_CALL_TIMEOUT_MS,
    );
    return answer.unwrapOr(UNKNOWN_STATUS);
  }
}

function unavailable(detail: string): RefusalError {
  return new RefusalError(
    REFUSAL_REASON.CLAIM_UNAVAILABLE,
    OUTCOME.NOT_RUN,
    `the platform did not confirm the claim: ${detail}`,
    {retryAfterMs: 1_000},
  );
}

function keyReused(): RefusalError {
  return new RefusalError(
    REFUSAL_REASON.KEY_REUSED,
    OUTCOME.NOT_RUN,
    'the idempotency key was used with another request',
  );
}

function heldElsewhere(status: ClaimStatus): RefusalError {
  const isFinished = status.state === CLAIM_STATE.FINISHED;
  return new RefusalError(
    isFinished ? REFUSAL_REASON.ALREADY_RAN : REFUSAL_REASON.CLAIM_HELD,
    OUTCOME.MAY_HAVE_RUN,
    isFinished
      ? 'the request has run and its answer is not kept any more'
      : 'a request with the same key may have run',
  );
}
