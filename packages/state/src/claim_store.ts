import {newId, sha256Hex, SYSTEM_CLOCK} from '@fescuespool/common';
import type {Clock} from '@fescuespool/common';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {
  CLAIM_LEASE_REUSE_MS,
  CLAIM_OUTCOME,
  CLAIM_PREFIX,
  CLAIM_RETENTION_MS,
  STORE_ERROR_KIND,
} from './constants.js';
import {StoreError} from './errors.js';
import type {Claim, ClaimHolder, PlatformStore, StoreEntry} from './types.js';

/** The request that a claim covers. */
export interface ClaimedRequest {
  readonly accountId: string;
  readonly idempotencyKey: string;
  readonly requestId: string;
  readonly fingerprint: string;
}

/** A claim in the store with the revision of its key. */
export interface StoredClaim {
  readonly claim: Claim;
  readonly revision: number;
}

/** Result of an attempt to create a claim. */
export type AcquireResult =
  | {
      readonly outcome: typeof CLAIM_OUTCOME.ACQUIRED;
      readonly claim: Claim;
      readonly revision: number;
    }
  | {readonly outcome: typeof CLAIM_OUTCOME.HELD; readonly held: StoredClaim}
  | {
      readonly outcome: typeof CLAIM_OUTCOME.UNAVAILABLE;
      readonly error: StoreError;
      /** Claim that may have been written and must be released, if any. */
      readonly possiblyWritten: Claim | null;
    };

function claimKey(accountId: string, idempotencyKey: string): string {
  return `${CLAIM_PREFIX}${accountId}/${sha256Hex(idempotencyKey)}`;
}

function parseClaim(entry: StoreEntry): StoredClaim {
  return {claim: JSON.parse(entry.value) as Claim, revision: entry.revision};
}

/**
 * Creates claims in the platform's store. A claim is written once, before the
 * request is dispatched, and the store keeps it until its retention lease
 * expires, so no second write is needed.
 */
export class ClaimStore {
  private lease: {readonly id: string; readonly grantedAtMs: number} | null =
    null;

  constructor(
    private readonly store: PlatformStore,
    private readonly holder: ClaimHolder,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /**
   * Tries to create a claim, or to replace a released one, whose holder has
   * guaranteed never to dispatch a request under it.
   */
  async acquire(
    request: ClaimedRequest,
    released: StoredClaim | null = null,
  ): Promise<AcquireResult> {
    const lease = await this.currentLease();
    if (lease.isErr()) return unavailable(lease.error, null);
    const claim: Claim = {
      nonce: newId(),
      holder: this.holder,
      requestId: request.requestId,
      fingerprint: request.fingerprint,
    };
    const key = claimKey(request.accountId, request.idempotencyKey);
    const written = await this.store.compareAndSwap({
      key,
      expectedRevision: released?.revision ?? 0,
      value: JSON.stringify(claim),
      leaseId: lease.value,
    });
    if (written.isErr())
      return this.resolveFailedWrite(key, claim, written.error);
    if (written.value.swapped) {
      const {revision} = written.value;
      return {outcome: CLAIM_OUTCOME.ACQUIRED, claim, revision};
    }
    const {current} = written.value;
    // The holder deletes a released claim, perhaps since it was read.
    if (!current && released) return this.acquire(request);
    if (!current) {
      const message =
        'the key of the claim was deleted or expired during the write';
      const kind = STORE_ERROR_KIND.UNAVAILABLE;
      return unavailable(new StoreError(kind, message), null);
    }
    return {outcome: CLAIM_OUTCOME.HELD, held: parseClaim(current)};
  }

  /**
   * Deletes a claim under which no request was dispatched. Returns false when
   * the store may still hold the claim.
   */
  async release(request: ClaimedRequest, claim: Claim): Promise<boolean> {
    const key = claimKey(request.accountId, request.idempotencyKey);
    const found = await this.store.get(key);
    if (found.isErr()) return false;
    if (!found.value) return true;
    const stored = parseClaim(found.value);
    if (stored.claim.nonce !== claim.nonce) return true;
    const expectedRevision = stored.revision;
    const deleted = await this.store.compareAndSwap({
      key,
      expectedRevision,
      value: null,
    });
    return deleted.isOk();
  }

  private async resolveFailedWrite(
    key: string,
    claim: Claim,
    error: StoreError,
  ): Promise<AcquireResult> {
    if (error.kind === STORE_ERROR_KIND.LEASE_EXPIRED) this.lease = null;
    if (error.kind !== STORE_ERROR_KIND.UNCLEAR)
      return unavailable(error, null);
    const found = await this.store.get(key);
    // The write may still be in flight even if the claim is absent now.
    if (found.isErr() || !found.value) return unavailable(error, claim);
    const stored = parseClaim(found.value);
    if (stored.claim.nonce !== claim.nonce) {
      return {outcome: CLAIM_OUTCOME.HELD, held: stored};
    }
    const {revision} = stored;
    return {outcome: CLAIM_OUTCOME.ACQUIRED, claim, revision};
  }

  private async currentLease(): Promise<Result<string, StoreError>> {
    const now = this.clock.monotonicMs();
    if (this.lease && now - this.lease.grantedAtMs < CLAIM_LEASE_REUSE_MS) {
      return ok(this.lease.id);
    }
    const ttlMs = CLAIM_RETENTION_MS + CLAIM_LEASE_REUSE_MS;
    const granted = await this.store.grantLease(ttlMs);
    if (granted.isErr()) {
      // No claim has been written, so an unclear error becomes `unavailable`.
      // If only the response was lost, the granted lease stays unused.
      const kind = STORE_ERROR_KIND.UNAVAILABLE;
      return err(new StoreError(kind, granted.error.message));
    }
    this.lease = {id: granted.value, grantedAtMs: now};
    return ok(granted.value);
  }
}

function unavailable(
  error: StoreError,
  possiblyWritten: Claim | null,
): AcquireResult {
  return {outcome: CLAIM_OUTCOME.UNAVAILABLE, error, possiblyWritten};
}
