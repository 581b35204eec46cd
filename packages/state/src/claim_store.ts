import {newId, sha256Hex, sleep, SYSTEM_CLOCK} from '@fescuespool/common';
import type {Clock} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {
  CLAIM_LEASE_REUSE_MS,
  CLAIM_OUTCOME,
  CLAIM_PREFIX,
  CLAIM_RETENTION_MS,
  CLAIM_REWRITE_MS,
  CLAIM_REWRITE_RETRY_MS,
  MAX_RECENT_CLAIMS,
  RECENT_CLAIM_MS,
  STORE_ERROR_KIND,
} from './constants.js';
import {StoreError} from './errors.js';
import type {StoreEpoch} from './store_epoch.js';
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

/** Key of a request's claim in the store. */
export function claimKey({accountId, idempotencyKey}: ClaimedRequest): string {
  return `${CLAIM_PREFIX}${accountId}/${sha256Hex(idempotencyKey)}`;
}

function parseClaim(entry: StoreEntry): StoredClaim {
  return {claim: JSON.parse(entry.value) as Claim, revision: entry.revision};
}

/**
 * Creates claims in the platform's store. A claim is written once, before the
 * request is dispatched, and the store keeps it until its retention lease
 * expires. If the store is restored from a copy, each holder writes its recent
 * claims again, and those that it keeps for others; no claim is created until all
 * have had time to.
 */
export class ClaimStore {
  private lease: {readonly id: string; readonly grantedAtMs: number} | null =
    null;
  /** Claims that were created recently, here or elsewhere, by store key. */
  private readonly recent = new LRUCache<string, Claim>({
    max: MAX_RECENT_CLAIMS,
    ttl: RECENT_CLAIM_MS,
  });
  /** Monotonic milliseconds from which on the store has all claims again. */
  private completeFromMs = -Infinity;

  constructor(
    private readonly store: PlatformStore,
    private readonly holder: ClaimHolder,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {
    store.epoch.onChange(() => void this.rewriteRecent());
  }

  /**
   * Tries to create a claim, or to replace a released one, whose holder has
   * guaranteed never to dispatch a request under it.
   */
  async acquire(
    request: ClaimedRequest,
    released: StoredClaim | null = null,
  ): Promise<AcquireResult> {
    if (!this.isComplete) return unavailable(incompleteError(), null);
    const result = await this.create(request, released);
    if (result.outcome !== CLAIM_OUTCOME.ACQUIRED) return result;
    // The response may be the first that shows the restore.
    if (!this.isComplete) return unavailable(incompleteError(), result.claim);
    const key = claimKey(request);
    this.recent.set(key, result.claim);
    return result;
  }

  /** Whether all holders have had time to write their claims again. */
  get isComplete(): boolean {
    return this.clock.monotonicMs() >= this.completeFromMs;
  }

  /** Epoch of the store, as far as known. */
  get epoch(): StoreEpoch {
    return this.store.epoch;
  }

  /** Keeps a copy of a claim that another member has created. */
  keepCopy(key: string, claim: Claim): void {
    this.recent.set(key, claim);
  }

  private async create(
    request: ClaimedRequest,
    released: StoredClaim | null,
  ): Promise<AcquireResult> {
    const lease = await this.currentLease();
    if (lease.isErr()) return unavailable(lease.error, null);
    const claim: Claim = {
      nonce: newId(),
      holder: this.holder,
      requestId: request.requestId,
      fingerprint: request.fingerprint,
    };
    const key = claimKey(request);
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
    if (!current && released) return this.create(request, null);
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
    const key = claimKey(request);
    if (this.recent.get(key)?.nonce === claim.nonce) this.recent.delete(key);
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

  /** Writes the recent claims again that a restore has lost. */
  private async rewriteRecent(): Promise<void> {
    const endsAtMs = this.clock.monotonicMs() + CLAIM_REWRITE_MS;
    this.completeFromMs = endsAtMs;
    this.lease = null;
    const epoch = this.store.epoch.current;
    let pending = [...this.recent.keys()];
    while (pending.length > 0 && epoch === this.store.epoch.current) {
      const failed: string[] = [];
      for (const key of pending) {
        if (!(await this.rewrite(key))) failed.push(key);
      }
      pending = failed;
      if (this.clock.monotonicMs() >= endsAtMs) return;
      if (pending.length > 0) await sleep(CLAIM_REWRITE_RETRY_MS);
    }
  }

  /** Returns whether the store has a claim for a key again. */
  private async rewrite(key: string): Promise<boolean> {
    const claim = this.recent.get(key);
    if (!claim) return true;
    const lease = await this.currentLease();
    if (lease.isErr()) return false;
    const written = await this.store.compareAndSwap({
      key,
      expectedRevision: 0,
      value: JSON.stringify(claim),
      leaseId: lease.value,
    });
    if (written.isErr()) return false;
    if (written.value.swapped) return true;
    const {current} = written.value;
    // Another claim is one that its holder releases, as it came too early.
    return current !== null && parseClaim(current).claim.nonce === claim.nonce;
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

function incompleteError(): StoreError {
  const message = 'the store was restored, and claims are being written again';
  return new StoreError(STORE_ERROR_KIND.UNAVAILABLE, message);
}

function unavailable(
  error: StoreError,
  possiblyWritten: Claim | null,
): AcquireResult {
  return {outcome: CLAIM_OUTCOME.UNAVAILABLE, error, possiblyWritten};
}
