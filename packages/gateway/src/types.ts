import type {ValueOf} from '@fescuespool/common';
import type {QuotaLimit, ReportedLoad} from '@fescuespool/scheduling';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {GATEWAY_REFUSAL, ROUTE_KIND} from './constants.js';

/** What may be repeated of a route's requests. */
export type RouteKind = ValueOf<typeof ROUTE_KIND>;
/** Why the gateway refuses a request. */
export type GatewayRefusal = ValueOf<typeof GATEWAY_REFUSAL>;

/** Service of a route with its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host and path prefix go, and what they may cost. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may go on at another upstream. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** Time in milliseconds after which a request must have been answered. */
  readonly timeoutMs: number;
  /** Time in milliseconds in which the first byte should come. */
  readonly objectiveMs: number;
  /** Longest pause in milliseconds between two events of a good stream. */
  readonly maxEventGapMs: number | null;
  /** Upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Rank; 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** Holder of keys. */
export interface ClientAccount {
  readonly name: string;
  /** Rank that goes before that of the route; null where it has none. */
  readonly priority: number | null;
  /** Null without a limit. */
  readonly quota: QuotaLimit | null;
  /** Whether the quota counts tokens, and not requests. */
  readonly countsTokens: boolean;
  /** Tokens for which a request without a token count stands. */
  readonly defaultTokens: number;
}

/** Bounds of what callers may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  /** Time in milliseconds for which callers use an idle connection again. */
  readonly idleTimeoutMs: number;
}

/** One version of what the operator configured. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly accountsByKey: ReadonlyMap<string, ClientAccount>;
  /** Whether requests of routes that are not public need a key. */
  readonly requiresKeys: boolean;
  readonly limits: CallerLimits;
}

/** Head of a caller's request, decoded. */
export interface RequestHead {
  readonly requestId: string;
  readonly key: string | null;
  /** Time in milliseconds that the caller will wait; null where untold. */
  readonly deadlineMs: number | null;
  /** Null where the request tells no token counts. */
  readonly tokens: {readonly prompt: number; readonly output: number} | null;
  /** Event after which a stream goes on. */
  readonly lastEventId: string | null;
}

/** What the gateway adds to a request that it sends on. */
export interface UpstreamRequestHead {
  readonly instanceId: string;
  readonly accountName: string | null;
  readonly deadlineMs: number;
  readonly lastEventId: string | null;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** Head of an upstream's answer, decoded. */
export interface UpstreamResponseHead {
  /** Request that the answer belongs to; null where it does not say. */
  readonly requestId: string | null;
  /** Whether it carries the mark that only the upstream's own answers have. */
  readonly isSealed: boolean;
  /** Whether the upstream says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another upstream holds the address. */
  readonly isInstanceMismatch: boolean;
  readonly load: ReportedLoad | null;
}

/** Translates between a wire format's headers and the gateway's types. */
export interface WireFormat {
  /** Null where the request can't be one of this format. */
  readonly parseRequest: (req: IncomingMessage) => RequestHead | null;
  /** Headers of the request as it is sent on, as a flat list. */
  readonly upstreamRequestHeaders: (
    rawHeaders: readonly string[],
    send: UpstreamRequestHead,
  ) => string[];
  readonly parseResponse: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => UpstreamResponseHead;
  /** Headers of the answer as the caller gets it, as a flat list. */
  readonly callerResponseHeaders: (rawHeaders: readonly string[]) => string[];
  /** Headers of an answer of the gateway's own. */
  readonly ownResponseHeaders: (requestId: string | null) => string[];
}

/** A gateway that shares the queues. */
export interface GatewayMember {
  readonly id: string;
  readonly zone: string;
  /** Host and port of its listener for peers. */
  readonly address: string;
  /** Whether it is stopping, so that it gets no more queues. */
  readonly isLeaving: boolean;
}
