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

/** Takes the answer of a chat completion towards the caller. */
export interface ChatSink {
  /** Whether the caller has seen a part of the answer. */
  readonly hasStarted: () => boolean;
  /** Takes a chunk; false once the caller can't take more. */
  readonly writeChunk: (data: string, chunk: ChatChunk) => Promise<boolean>;
  /** Ends the whole answer. */
  readonly finish: () => void;
}

/** Sink that passes chunks on as server-sent events. */
export function createStreamSink(
  res: ServerResponse,
  requestId: string,
): ChatSink {
  let position = 0;
  return {
    hasStarted: () => res.headersSent,
    writeChunk: async data => {
      if (!res.headersSent) {
        // Set one by one, because headers given to writeHead can't be read back
        // when the stream has to end with an error event.
        res.setHeader('content-type', EVENT_STREAM_MEDIA_TYPE);
        res.setHeader('cache-control', 'no-cache');
        res.setHeader(HEADER.REQUEST_ID, requestId);
        res.writeHead(OK);
      }
      position++;
      return writeWithBackpressure(res, formatSseEvent(data, String(position)));
    },
    finish: () => {
      res.end(formatSseEvent(SSE_DONE));
    },
  };
}

/** Sink that gathers the answer and sends it whole. */
export function createBufferedSink(
  res: ServerResponse,
  requestId: string,
  model: string,
): ChatSink {
  const parts: string[] = [];
  let size = 0;
  let usage: ChatUsage | null = null;
  let finishReason: string | null = null;
  return {
    hasStarted: () => false,
    writeChunk: async (_data, chunk) => {
      const choice = chunk.choices?.[0];
      const content = choice?.delta?.content ?? '';
      parts.push(content);
      size += content.length;
      usage = chunk.usage ?? usage;
      finishReason = choice?.finish_reason ?? finishReason;
      return size <= MAX_BUFFERED_RESPONSE_BYTES;
    },
    finish: () => {
      const message = {role: 'assistant', content: parts.join('')};
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
