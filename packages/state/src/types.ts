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

/** Kind of a service. */
export type ServiceKind = ValueOf<typeof SERVICE_KIND>;
/** Kind of a store failure. */
export type StoreErrorKind = ValueOf<typeof STORE_ERROR_KIND>;
/** Kind of a rejected configuration patch. */
export type SubmitErrorKind = ValueOf<typeof SUBMIT_ERROR_KIND>;
/** Media type of a configuration patch. */
export type PatchFormat = ValueOf<typeof PATCH_FORMAT>;
/** Liveness of a VM. */
export type VmState = ValueOf<typeof VM_STATE>;

/** A value in the platform's store with its revision. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the write that set the value; revisions only grow. */
  readonly revision: number;
}

/** A compare-and-swap on one key. */
export interface CasRequest {
  readonly key: string;
  /** Revision that the key must have; 0 means that it must not exist. */
  readonly expectedRevision: number;
  /** New value; null deletes the key. */
  readonly value: string | null;
  /** Lease whose end deletes the key. */
  readonly leaseId?: string;
}

/** Answer to a compare-and-swap. */
export type CasOutcome =
  | {readonly swapped: true; readonly revision: number}
  | {readonly swapped: false; readonly current: StoreEntry | null};

/** The part of the platform's key-value service that the system uses. */
export interface PlatformStore {
  readonly get: (key: string) => Promise<Result<StoreEntry | null, StoreError>>;
  readonly compareAndSwap: (
    req: CasRequest,
  ) => Promise<Result<CasOutcome, StoreError>>;
  /** Grants a lease for a time in milliseconds. */
  readonly grantLease: (ttlMs: number) => Promise<Result<string, StoreError>>;
  readonly keepAlive: (leaseId: string) => Promise<Result<void, StoreError>>;
  /**
   * Waits until a key has a revision above the given one, at most for a time in
   * milliseconds; answers null when nothing changed.
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
  /** Role of the VM: `entry` for ours, `upstream` for engines. */
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

/** Reads the platform's VM list, waiting in milliseconds for a newer one. */
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

/** Where one accepted version of the configuration is stored. */
export interface ConfigVersionEntry {
  readonly version: number;
  readonly patchId: string;
  readonly author: string;
  /** Wall-clock time in milliseconds, for display only. */
  readonly acceptedAtMs: number;
  /** Store key of each section by section name. */
  readonly sections: Readonly<Record<string, string>>;
}

/** Value of the head key: the newest version first, then its predecessors. */
export interface ConfigHead {
  readonly recent: readonly ConfigVersionEntry[];
}

/** Holder of a claim. */
export interface ClaimHolder {
  readonly memberId: string;
  readonly incarnation: number;
}

/** Right to run one non-idempotent request, kept in the platform's store. */
export interface Claim {
  /** Unique for each attempt to create a claim. */
  readonly nonce: string;
  readonly holder: ClaimHolder;
  readonly requestId: string;
  /** SHA-256 of method, path and body. */
  readonly fingerprint: string;
}
