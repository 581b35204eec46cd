import {
  CAS_RESPONSE_SCHEMA,
  ENTRY_RESPONSE_SCHEMA,
  KEEP_ALIVE_RESPONSE_SCHEMA,
  LEASE_RESPONSE_SCHEMA,
  PLATFORM_PATH,
  VM_LIST_SCHEMA,
} from '@fescuespool/protocol';
import type {
  PlatformStore,
  ReadVmList,
  StoreErrorKind,
} from '@fescuespool/state';
import {STORE_ERROR_KIND, StoreEpoch, StoreError} from '@fescuespool/state';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import http from 'node:http';
import {z} from 'zod';
import {
  MAX_RESPONSE_BYTES,
  PLATFORM_MAX_SOCKETS,
  PLATFORM_TIMEOUT_MS,
} from './constants.js';
import type {CallError} from './errors.js';
import {openExchange, readBody} from './http_client.js';

const TOO_MANY_REQUESTS = 429;
const GONE = 410;
const OK = 200;

/** URL of the platform, and the local address of connections to it. */
export interface PlatformClientOptions {
  readonly url: string;
  readonly localAddress?: string;
}

/** Store and VM list of the platform. */
export interface PlatformClient {
  readonly store: PlatformStore;
  readonly readVmList: ReadVmList;
}

function toStoreError(error: CallError): StoreError {
  const kind = error.isUnsent
    ? STORE_ERROR_KIND.UNAVAILABLE
    : STORE_ERROR_KIND.UNCLEAR;
  return new StoreError(kind, error.message);
}

function toStoreErrorKind(status: number): StoreErrorKind {
  if (status === TOO_MANY_REQUESTS) return STORE_ERROR_KIND.RATE_LIMITED;
  if (status === GONE) return STORE_ERROR_KIND.LEASE_EXPIRED;
  // Other error statuses do not say whether the platform applied the call.
  return STORE_ERROR_KIND.UNCLEAR;
}

/** Creates a client of the platform's HTTP API. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: PLATFORM_MAX_SOCKETS,
  });

  const call = async <T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    waitMs = 0,
  ): Promise<Result<T, StoreError>> => {
    const opened = await openExchange({
      url: options.url + path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      localAddress: options.localAddress,
      agent,
      responseTimeoutMs: waitMs + PLATFORM_TIMEOUT_MS,
    });
    if (opened.isErr()) return err(toStoreError(opened.error));
    const {res} = opened.value;
    try {
      const text = (await readBody(res, MAX_RESPONSE_BYTES)).toString();
      const status = res.statusCode ?? 0;
      if (status !== OK) {
        return err(
          new StoreError(toStoreErrorKind(status), `status ${status}`),
        );
      }
      return ok(schema.parse(JSON.parse(text)));
    } catch (e) {
      const message = e instanceof Error ? e.message : String(e);
      return err(new StoreError(STORE_ERROR_KIND.UNCLEAR, message));
    }
  };

  const epoch = new StoreEpoch();
  const callStore = async <T extends {readonly epoch: number}>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    waitMs?: number,
  ): Promise<Result<T, StoreError>> => {
    const response = await call(path, body, schema, waitMs);
    if (response.isOk()) epoch.record(response.value.epoch);
    return response;
  };

  const store: PlatformStore = {
    epoch,
    get: async key => {
      const response = await callStore(
        PLATFORM_PATH.GET,
        {key},
        ENTRY_RESPONSE_SCHEMA,
      );
      return response.map(value => value.entry);
    },
    compareAndSwap: req =>
      callStore(PLATFORM_PATH.CAS, req, CAS_RESPONSE_SCHEMA),
    grantLease: async ttlMs => {
      const path = PLATFORM_PATH.LEASE_GRANT;
      const response = await callStore(path, {ttlMs}, LEASE_RESPONSE_SCHEMA);
      return response.map(value => value.leaseId);
    },
    keepAlive: async leaseId => {
      const path = PLATFORM_PATH.LEASE_KEEP_ALIVE;
      const response = await call(path, {leaseId}, KEEP_ALIVE_RESPONSE_SCHEMA);
      return response.map(() => undefined);
    },
    watch: async (key, afterRevision, waitMs) => {
      const response = await callStore(
        PLATFORM_PATH.WATCH,
        {key, afterRevision, waitMs},
        ENTRY_RESPONSE_SCHEMA,
        waitMs,
      );
      return response.map(value => value.entry);
    },
  };

  const vmListResponseSchema = z.object({listing: VM_LIST_SCHEMA.nullable()});
  return {
    store,
    readVmList: async (afterRevision, waitMs) => {
      const body = {afterRevision, waitMs};
      const response = await call(
        PLATFORM_PATH.VMS,
        body,
        vmListResponseSchema,
        waitMs,
      );
      return response.map(value => value.listing);
    },
  };
}
