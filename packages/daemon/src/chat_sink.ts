import {MS_PER_SECOND} from '@fescuespool/common';
import type {ChatChunk, ChatUsage} from '@fescuespool/protocol';
import {
  EVENT_STREAM_MEDIA_TYPE,
  formatSseEvent,
  HEADER,
  SSE_DONE,
} from '@fescuespool/protocol';
import {sendJson, writeWithBackpressure} from '@fescuespool/transport';
import type {ServerResponse} from 'node:http';
import {MAX_BUFFERED_RESPONSE_BYTES} from './constants.js';

const OK = 200;

/** Writes the response of a chat completion to the caller. */
export interface ChatSink {
  /** Whether a part of the response has been sent to the caller. */
  readonly hasStarted: () => boolean;
  /**
   * Writes or buffers a chunk. Resolves with false if the caller has
   * disconnected or the buffered response is too large.
   */
  readonly writeChunk: (data: string, chunk: ChatChunk) => Promise<boolean>;
  /** Completes the response after the last chunk. */
  readonly finish: () => void;
}

/** Creates a sink that forwards each chunk as a server-sent event. */
export function createStreamSink(
  res: ServerResponse,
  requestId: string,
): ChatSink {
  let eventId = 0;
  return {
    hasStarted: () => res.headersSent,
    writeChunk: async data => {
      if (!res.headersSent) {
        // Set one by one: headers that are passed to writeHead can't be read
        // back, which is needed to end the stream with an error event.
        res.setHeader('content-type', EVENT_STREAM_MEDIA_TYPE);
        res.setHeader('cache-control', 'no-cache');
        res.setHeader(HEADER.REQUEST_ID, requestId);
        res.writeHead(OK);
      }
      eventId++;
      return writeWithBackpressure(res, formatSseEvent(data, String(eventId)));
    },
    finish: () => {
      res.end(formatSseEvent(SSE_DONE));
    },
  };
}

/** Creates a sink that buffers all chunks and sends one JSON response. */
export function createBufferedSink(
  res: ServerResponse,
  requestId: string,
  model: string,
): ChatSink {
  const contentParts: string[] = [];
  let size = 0;
  let usage: ChatUsage | null = null;
  let finishReason: string | null = null;
  return {
    hasStarted: () => false,
    writeChunk: async (_data, chunk) => {
      const choice = chunk.choices?.[0];
      const content = choice?.delta?.content ?? '';
      contentParts.push(content);
      size += content.length;
      usage = chunk.usage ?? usage;
      finishReason = choice?.finish_reason ?? finishReason;
      return size <= MAX_BUFFERED_RESPONSE_BYTES;
    },
    finish: () => {
      const message = {role: 'assistant', content: contentParts.join('')};
      res.setHeader(HEADER.REQUEST_ID, requestId);
      sendJson(res, OK, {
        id: `chatcmpl-${requestId}`,
        object: 'chat.completion',
        created: Math.floor(Date.now() / MS_PER_SECOND),
        model,
        choices: [{index: 0, message, finish_reason: finishReason ?? 'stop'}],
        usage,
      });
    },
  };
}
