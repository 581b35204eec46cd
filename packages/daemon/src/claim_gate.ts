import {sha256Hex, sleep} from '@fescuespool/common';
import {OUTCOME, REFUSAL_REASON} from '@fescuespool/coordination';
import type {CachedResponse} from '@fescuespool/protocol';
import {CLAIM_STATE, PEER_METHOD, RefusalError} from '@fescuespool/protocol';
import type {
  Claim,
  ClaimedRequest,
  ClaimStore,
  StoredClaim,
} from '@fescuespool/state';
import {CLAIM_OUTCOME, claimKey} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {z} from 'zod';
import {ClaimCopies} from './claim_copies.js';
import {
  CLAIM_POLL_INTERVAL_MS,
  MAX_CLAIM_AGE_MS,
  MAX_RELEASE_ATTEMPTS,
  PEER_CALL_TIMEOUT_MS,
} from './constants.js';
import {LocalClaims} from './local_claims.js';
import type {DaemonContext} from './types.js';

const CLAIM_STATUS_SCHEMA = z.object({
  state: z.enum(CLAIM_STATE),
  answer: z
    .object({
      status: z.number().int(),
      headers: z.record(z.string(), z.string()),
      bodyBase64: z.string(),
    })
    .nullable(),
});

type ClaimStatus = z.infer<typeof CLAIM_STATUS_SCHEMA>;

const UNKNOWN_STATUS: ClaimStatus = {
  state: CLAIM_STATE.UNKNOWN,
  answer: null,
};

/**
 * Claim to run a request under, or the response of the request that ran before.
 */
export type ClaimDecision =
  | {readonly mayRun: true; readonly claim: Claim}
  | {readonly mayRun: false; readonly response: CachedResponse};

/**
 * Describes the request that a claim is created for, by its key and a
 * fingerprint of the call.
 */
export function createClaimedRequest(
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
 * Decides whether a non-idempotent request may run. At most one process ever
 * dispatches under a key; duplicates receive the response of that run.
 */
export class ClaimGate {
  readonly localClaims = new LocalClaims();
  /** Copies of recent claims at other members. */
  readonly copies: ClaimCopies;

  constructor(
    private readonly context: DaemonContext,
    private readonly claims: ClaimStore,
  ) {
    this.copies = new ClaimCopies(context, claims);
  }

  /**
   * Creates the claim of a request, or finds the response to an earlier request
   * with the same key. Throws a `RefusalError` if the claim can't be confirmed,
   * the key belongs to a different request, or the earlier request leaves no
   * response until `deadlineAtMs`, a monotonic time in milliseconds.
   */
  async acquireClaim(
    request: ClaimedRequest,
    deadlineAtMs: number,
    signal: AbortSignal,
  ): Promise<ClaimDecision> {
    const {clock} = this.context;
    let releasedClaim: StoredClaim | null = null;
    while (clock.monotonicMs() < deadlineAtMs && !signal.aborted) {
      const startedAtMs = clock.monotonicMs();
      const attempt = await this.claims.acquire(request, releasedClaim);
      releasedClaim = null;
      if (attempt.outcome === CLAIM_OUTCOME.UNAVAILABLE) {
        if (attempt.possiblyWritten)
          this.releaseClaim(request, attempt.possiblyWritten);
        throw claimUnavailableRefusal(attempt.error.message);
      }
      if (attempt.outcome === CLAIM_OUTCOME.ACQUIRED) {
        const {claim} = attempt;
        await this.confirmClaim(request, claim, startedAtMs, signal);
        return {mayRun: true, claim};
      }
      const {held} = attempt;
      if (held.claim.fingerprint !== request.fingerprint)
        throw keyReusedRefusal();
      const status = await this.statusOf(held.claim);
      if (status.answer) return {mayRun: false, response: status.answer};
      if (status.state === CLAIM_STATE.RELEASED) releasedClaim = held;
      else if (status.state !== CLAIM_STATE.RUNNING)
        throw claimConflictRefusal(status);
      else await sleep(CLAIM_POLL_INTERVAL_MS, signal);
    }
    throw new RefusalError(
      REFUSAL_REASON.CLAIM_HELD,
      OUTCOME.MAY_HAVE_RUN,
      'a request with the same idempotency key is still running',
    );
  }

  /**
   * Shares a new claim with another member; releases it and throws if its request
   * must not run.
   */
  private async confirmClaim(
    request: ClaimedRequest,
    claim: Claim,
    startedAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    this.localClaims.setState(claim.nonce, CLAIM_STATE.RUNNING);
    await this.copies.share({key: claimKey(request), claim});
    const acquireMs = this.context.clock.monotonicMs() - startedAtMs;
    let problem: string | null = null;
    if (!this.claims.isComplete) problem = 'the store was restored meanwhile';
    // The process was paused meanwhile, so its view of the claim is stale.
    if (acquireMs > MAX_CLAIM_AGE_MS || signal.aborted) {
      problem = 'the confirmation took too long';
    }
    if (problem === null) return;
    this.releaseClaim(request, claim);
    throw claimUnavailableRefusal(problem);
  }

  /** Marks a claim as finished and caches the response for duplicates. */
  finishClaim(claim: Claim, response: CachedResponse | null): void {
    this.localClaims.finish(claim.nonce, response);
  }

  /**
   * Marks a claim as released, after which nothing is dispatched under it, and
   * deletes it from the store.
   */
  releaseClaim(request: ClaimedRequest, claim: Claim): void {
    this.localClaims.setState(claim.nonce, CLAIM_STATE.RELEASED);
    void this.releaseUntilDone(request, claim);
  }

  private async releaseUntilDone(
    request: ClaimedRequest,
    claim: Claim,
  ): Promise<void> {
    // A claim whose write response was lost may still be written after the
    // first attempt to release it.
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      const isReleased = await this.claims.release(request, claim);
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
      CLAIM_STATUS_SCHEMA,
      PEER_CALL_TIMEOUT_MS,
    );
    return answer.unwrapOr(UNKNOWN_STATUS);
  }
}

function claimUnavailableRefusal(detail: string): RefusalError {
  return new RefusalError(
    REFUSAL_REASON.CLAIM_UNAVAILABLE,
    OUTCOME.NOT_RUN,
    `the platform did not confirm the claim of the key: ${detail}`,
    {retryAfterMs: 1_000},
  );
}

function keyReusedRefusal(): RefusalError {
  return new RefusalError(
    REFUSAL_REASON.KEY_REUSED,
    OUTCOME.NOT_RUN,
    'the idempotency key was already used for a different request',
  );
}

function claimConflictRefusal(status: ClaimStatus): RefusalError {
  const isFinished = status.state === CLAIM_STATE.FINISHED;
  return new RefusalError(
    isFinished ? REFUSAL_REASON.ALREADY_RAN : REFUSAL_REASON.CLAIM_HELD,
    OUTCOME.MAY_HAVE_RUN,
    isFinished
      ? 'the request has already run and its response is no longer cached'
      : 'a request with the same idempotency key may already have run',
  );
}
