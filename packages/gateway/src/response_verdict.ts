import type {UpstreamResponseHead} from './types.js';

const OK = 200;
const FIRST_REDIRECT = 300;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** What a response head is to the request that was sent. */
export type ResponseVerdict =
  /** Another request's, or none that can be told from that. */
  | 'foreign'
  /** The upstream states that it did not run the request. */
  | 'not_run'
  /** The same, as the address belongs to another upstream by now. */
  | 'replaced'
  /** A stream of events that may be forwarded as they come. */
  | 'stream'
  /** Can't go on from where the caller's stream broke off. */
  | 'not_continuing'
  /** A response that counts once it is complete. */
  | 'whole';

/** A response head, and what it answers. */
export interface JudgedResponse {
  readonly head: UpstreamResponseHead;
  readonly status: number;
  /** Value of its Content-Type; undefined if it has none. */
  readonly contentType: string | undefined;
  readonly requestId: string;
  /** Whether its connection had brought responses to other requests. */
  readonly isReusedConnection: boolean;
  readonly isStreamRequest: boolean;
  /** Whether the caller has the head of its response. */
  readonly hasSentHead: boolean;
}

/**
 * Decides what a response is. Faulty upstreams write an earlier response once
 * more: a connection that was used before may bring one that names no request.
 */
export function judgeResponse(response: JudgedResponse): ResponseVerdict {
  const {head, status, isStreamRequest, hasSentHead} = response;
  if (isForeign(response)) return 'foreign';
  if (head.isNotRun) return head.isInstanceMismatch ? 'replaced' : 'not_run';
  const isSuccess = status >= OK && status < FIRST_REDIRECT;
  if (isSuccess && !isVerified(response)) return 'foreign';
  if (!hasSentHead) return isSuccess && isStreamRequest ? 'stream' : 'whole';
  const isContinuation = status === OK && isEventStream(response);
  return isContinuation ? 'stream' : 'not_continuing';
}

/** Whether a response can't be told to belong to the request. */
export function isForeign({
  head,
  requestId,
  isReusedConnection,
}: Pick<JudgedResponse, 'head' | 'requestId' | 'isReusedConnection'>): boolean {
  return head.requestId === null
    ? isReusedConnection
    : head.requestId !== requestId;
}

function isVerified({head, requestId}: JudgedResponse): boolean {
  return head.requestId === requestId && head.isSealed;
}

function isEventStream({contentType}: JudgedResponse): boolean {
  const [mediaType = ''] = (contentType ?? EVENT_STREAM_TYPE).split(';');
  return mediaType.trim().toLowerCase() === EVENT_STREAM_TYPE;
}
