import type {ValueOf} from '@fescuespool/common';
import type {
  NamedLimits,
  PromptPart,
  QuotaLimit,
  ReportedLoad,
} from '@fescuespool/scheduling';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {GATEWAY_REFUSAL, ROUTE_KIND} from './constants.js';

/** Whether and how the requests of a route may be repeated. */
export type RouteKind = ValueOf<typeof ROUTE_KIND>;
/** Why the gateway refuses a request. */
export type GatewayRefusal = ValueOf<typeof GATEWAY_REFUSAL>;

/**
 * A service that a route sends requests to, with its weight among the targets.
 */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Routing rule and limits for the requests of a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** Time in milliseconds within which the response must be complete. */
  readonly timeoutMs: number;
  /** Target time to the first byte, in milliseconds. */
  readonly objectiveMs: number;
  /**
   * Longest acceptable gap between two events, in milliseconds; null if unset.
   */
  readonly maxEventGapMs: number | null;
  /** Number of upstreams that may run the same request. */
  readonly maxAttempts: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** A client account, identified by its API keys. */
export interface ClientAccount {
  readonly name: string;
  /** Takes precedence over the route's priority; null if unset. */
  readonly priority: number | null;
  /** Null if usage is not limited. */
  readonly quota: QuotaLimit | null;
  /** Whether the quota counts tokens instead of requests. */
  readonly countsTokens: boolean;
  /** Tokens charged for a request without a token count. */
  readonly defaultTokens: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  /** Time in milliseconds for which an idle caller connection is kept open. */
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly accountsByKey: ReadonlyMap<string, ClientAccount>;
  /** Whether requests to non-public routes need a key. */
  readonly requiresKeys: boolean;
  readonly limits: CallerLimits;
}

/** Decoded head of a caller's request. */
export interface RequestHead {
  readonly requestId: string;
  readonly key: string | null;
  /** Time in milliseconds that the caller will wait; null if not given. */
  readonly deadlineMs: number | null;
  /** Null if the request gives no token counts. */
  readonly tokens: {readonly prompt: number; readonly output: number} | null;
  /** Event after which to resume a stream; null to start from its beginning. */
  readonly lastEventId: string | null;
  /** Id of the request that brought the first event of the stream to resume. */
  readonly resumedRequestId: string | null;
  /** Parts of its prompt, some of which other requests share. */
  readonly promptParts: readonly PromptPart[];
}

/** Values for the headers that the gateway adds to a forwarded request. */
export interface UpstreamRequestHead {
  readonly instanceId: string;
  readonly accountName: string | null;
  readonly deadlineMs: number;
  readonly lastEventId: string | null;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** Decoded head of an upstream's response. */
export interface UpstreamResponseHead {
  /** Request that the response belongs to; null if not given. */
  readonly requestId: string | null;
  /** Whether it has the seal header, which only the upstream itself adds. */
  readonly isSealed: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the address now belongs to another upstream instance. */
  readonly isInstanceMismatch: boolean;
  /** Whether the upstream says that it leaves and wants no new requests. */
  readonly isLeaving: boolean;
  /**
   * Milliseconds for which the upstream wants no requests from the gateway that it
   * answers; null if it does not say so.
   */
  readonly pauseMs: number | null;
  readonly load: ReportedLoad | null;
  readonly limits: NamedLimits;
}

/** Converts between the headers of a wire format and the gateway's types. */
export interface WireFormat {
  /** Parses the head of a request; null if it is not valid in this format. */
  readonly parseRequest: (req: IncomingMessage) => RequestHead | null;
  /** Headers of the forwarded request, as a flat list of names and values. */
  readonly upstreamRequestHeaders: (
    rawHeaders: readonly string[],
    head: UpstreamRequestHead,
  ) => string[];
  readonly parseResponse: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => UpstreamResponseHead;
  /**
   * Headers of the response to the caller, as a flat list of names and values.
   */
  readonly callerResponseHeaders: (rawHeaders: readonly string[]) => string[];
  /** Path at which upstreams tell when they started; null if they don't. */
  readonly startTimePath: string | null;
  /** Parses that response: Unix milliseconds, or null if it does not tell. */
  readonly parseStartTime: (body: string) => number | null;
  /**
   * Headers of a response that the gateway generates itself, as a flat list.
   */
  readonly ownResponseHeaders: (requestId: string | null) => string[];
}

/** A gateway that shares the queues, as stored and published to the others. */
export interface GatewayMember {
  readonly id: string;
  readonly zone: string;
  /** Host and port for connections from peers. */
  readonly address: string;
  /** Whether it is shutting down and must not own queues any more. */
  readonly isLeaving: boolean;
  /** Host and port at which it opens tunnels to upstreams; null if it doesn't. */
  readonly tunnelAddress: string | null;
  /**
   * Whether it heeds the record of where streams may have begun; members of
   * earlier releases don't.
   */
  readonly goesByOriginRecord?: boolean;
  /**
   * Whether its tunnels are chunked, which tells the end of an upstream from its
   * own; those of earlier releases are not.
   */
  readonly hasChunkedTunnels?: boolean;
}

/** A value that a member has stored, with its name for the log. */
export interface StoredSnapshot {
  readonly key: string;
  readonly value: Buffer;
}

/**
 * Stores each member's snapshot of its streams where it outlasts all members, for
 * STREAM_ORIGIN_TTL_MS after the last write. Neither call rejects.
 */
export interface StreamStore {
  /** Replaces this member's snapshot; false if that is not certain. */
  readonly write: (value: Buffer) => Promise<boolean>;
  /** Snapshots of all members, also ended ones; null if they can't be read. */
  readonly readAll: () => Promise<readonly StoredSnapshot[] | null>;
}
