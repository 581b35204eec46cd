/** JSON-RPC methods of the protocol between daemons. */
export const PEER_METHOD = {
  PROBE: 'membership.probe',
  INDIRECT_PROBE: 'membership.probeFor',
  GRANT: 'grant.request',
  CANCEL: 'grant.cancel',
  PROGRESS: 'grant.progress',
  RELEASE: 'grant.release',
  PREEMPT: 'grant.preempt',
  VERIFY: 'grant.verify',
  REGISTER: 'cell.register',
  REPLICATE: 'cell.replicate',
  CONFIG_HEAD: 'config.head',
  CONFIG_SECTION: 'config.section',
  CONFIG_ANNOUNCE: 'config.announce',
  VM_LIST: 'vms.list',
  CLAIM_STATUS: 'claim.status',
  CLAIM_COPY: 'claim.copy',
  POISON_ANNOUNCE: 'poison.announce',
  STATUS_CELLS: 'status.cells',
  TRACE: 'status.trace',
} as const;

/** State of a claim as its holder reports it. */
export const CLAIM_STATE = {
  /** The holder will never dispatch a request under the claim. */
  RELEASED: 'released',
  RUNNING: 'running',
  FINISHED: 'finished',
  UNKNOWN: 'unknown',
} as const;

/** Names of HTTP headers, in lower case. */
export const HEADER = {
  AUTHORIZATION: 'authorization',
  IDEMPOTENCY_KEY: 'idempotency-key',
  DEADLINE_MS: 'x-request-deadline-ms',
  REQUEST_ID: 'x-request-id',
  NOT_ACCEPTED: 'x-not-accepted',
  RETRY_AFTER: 'retry-after',
} as const;

/** Headers that apply to one connection only (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Media type of the body of a refusal: problem details (RFC 9457). */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Media type of server-sent events. */
export const EVENT_STREAM_MEDIA_TYPE = 'text/event-stream';

/** Path of chat completions. */
export const CHAT_COMPLETIONS_PATH = '/v1/chat/completions';

/** Path prefix of the calls to application services. */
export const SERVICES_PATH_PREFIX = '/services/';

/** Data of the event that ends a complete chat completion stream. */
export const SSE_DONE = '[DONE]';

/** Maximum length in bytes of a line that a peer may send. */
export const MAX_PEER_LINE_BYTES = 4_194_304;

/** Limit on output tokens for a request that sets none. */
export const DEFAULT_MAX_TOKENS = 256;

/** Maximum length of an idempotency key in characters. */
export const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Maximum deadline in milliseconds that a caller may request. */
export const MAX_DEADLINE_MS = 3_600_000;
