import type {Result} from 'neverthrow';
import type {ValueOf} from '@fescuespool/common';
import type {
  PATCH_FORMAT,
  SERVICE_KIND,
  STORE_ERROR_KIND,
  SUBMIT_ERROR_KIND,
  VM_STATE,
} from './constants.js';
import type {StoreError} from './errors.js';
import type {StoreEpoch} from './store_epoch.js';

/** Whether a service is a model or an application. */
export type ServiceKind = ValueOf<typeof SERVICE_KIND>;
/** Reason for the failure of a store call. */
export type StoreErrorKind = ValueOf<typeof STORE_ERROR_KIND>;
/** Reason why a configuration patch was not accepted. */
export type SubmitErrorKind = ValueOf<typeof SUBMIT_ERROR_KIND>;
/** Format of a configuration patch, as its media type. */
export type PatchFormat = ValueOf<typeof PATCH_FORMAT>;
/** Whether a VM is live or leaving. */
export type VmState = ValueOf<typeof VM_STATE>;

/** A key of the platform's store with its value and revision. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the write that set the value; revisions only increase. */
  readonly revision: number;
}

/** A compare-and-swap on one key. */
export interface CasRequest {
  readonly key: string;
  /** Revision that the key must have; 0 means that it must not exist. */
  readonly expectedRevision: number;
  /** New value; null deletes the key. */
  readonly value: string | null;
  /** Lease whose expiry deletes the key. */
  readonly leaseId?: string;
}

/**
 * Result of a compare-and-swap: the new revision, or the current entry (null if
 * the key does not exist) when it does not have the expected revision.
 */
export type CasOutcome =
  | {readonly swapped: true; readonly revision: number}
  | {readonly swapped: false; readonly current: StoreEntry | null};

/** The operations of the platform's key-value service that are used. */
export interface PlatformStore {
  readonly epoch: StoreEpoch;
  readonly get: (key: string) => Promise<Result<StoreEntry | null, StoreError>>;
  readonly compareAndSwap: (
    req: CasRequest,
  ) => Promise<Result<CasOutcome, StoreError>>;
  /** Grants a lease with a time to live in milliseconds; returns its id. */
  readonly grantLease: (ttlMs: number) => Promise<Result<string, StoreError>>;
  readonly keepAlive: (leaseId: string) => Promise<Result<void, StoreError>>;
  /**
   * Waits until a key has a revision above the given one, for at most `waitMs`
   * milliseconds; returns null when nothing changed.
   */
  readonly watch: (
    key: string,
    afterRevision: number,
    waitMs: number,
  ) => Promise<Result<StoreEntry | null, StoreError>>;
}

/** A VM in the platform's list. */
export interface Vm {
  readonly id: string;
  readonly zone: string;
  /** `entry` for a VM of the scheduler, `upstream` for one with an engine. */
  readonly role: 'entry' | 'upstream';
  readonly state: VmState;
  /** Host and port of the peer listener of an entry VM. */
  readonly address?: string;
}

/** The platform's VM list at one revision. */
export interface VmListing {
  readonly revision: number;
  readonly vms: readonly Vm[];
}

/**
 * Reads the platform's VM list, waiting at most `waitMs` milliseconds for one
 * newer than the given revision; returns null when nothing changed.
 */
export type ReadVmList = (
  afterRevision: number,
  waitMs: number,
) => Promise<Result<VmListing | null, StoreError>>;

/** A patch to a numbered version of the configuration. */
export interface ConfigPatch {
  readonly patchId: string;
  readonly baseVersion: number;
  readonly format: PatchFormat;
  readonly patch: unknown;
  readonly author: string;
}

/** Origin of an accepted configuration version, and where it is stored. */
export interface ConfigVersionEntry {
  readonly version: number;
  readonly patchId: string;
  readonly author: string;
  /** Wall-clock time in milliseconds, for display only. */
  readonly acceptedAtMs: number;
  /** Store key of each section, keyed by section name. */
  readonly sections: Readonly<Record<string, string>>;
}

/** Value of the head key: the recent versions, newest first. */
export interface ConfigHead {
  readonly recent: readonly ConfigVersionEntry[];
}

/** Incarnation of the member that holds a claim. */
export interface ClaimHolder {
  readonly memberId: string;
  readonly incarnation: number;
}

/** Right to run one non-idempotent request, stored in the platform's store. */
export interface Claim {
  /** Unique for each attempt to create a claim. */
  readonly nonce: string;
  readonly holder: ClaimHolder;
  readonly requestId: string;
  /** SHA-256 of method, path and body. */
  readonly fingerprint: string;
}
