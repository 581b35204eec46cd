import {z} from 'zod';

/** Paths of the platform's HTTP API. */
export const PLATFORM_PATH = {
  GET: '/v1/kv/get',
  CAS: '/v1/kv/cas',
  WATCH: '/v1/kv/watch',
  LEASE_GRANT: '/v1/lease/grant',
  LEASE_KEEP_ALIVE: '/v1/lease/keepalive',
  VMS: '/v1/vms',
} as const;

/** Schema of an entry of the platform's store. */
export const STORE_ENTRY_SCHEMA = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.number().int(),
});

/** Number of restores of the store; 0 for a platform that does not tell. */
const EPOCH = z.number().int().min(0).default(0);

/** Schema of the response to a read or a watch. */
export const ENTRY_RESPONSE_SCHEMA = z.object({
  entry: STORE_ENTRY_SCHEMA.nullable(),
  epoch: EPOCH,
});

/** Schema of the response to a compare-and-swap. */
export const CAS_RESPONSE_SCHEMA = z.discriminatedUnion('swapped', [
  z.object({
    swapped: z.literal(true),
    revision: z.number().int(),
    epoch: EPOCH,
  }),
  z.object({
    swapped: z.literal(false),
    current: STORE_ENTRY_SCHEMA.nullable(),
    epoch: EPOCH,
  }),
]);

/** Schema of the response to a lease request. */
export const LEASE_RESPONSE_SCHEMA = z.object({
  leaseId: z.string(),
  epoch: EPOCH,
});

/** Schema of the response to a keep-alive. */
export const KEEP_ALIVE_RESPONSE_SCHEMA = z.object({ok: z.boolean()});
