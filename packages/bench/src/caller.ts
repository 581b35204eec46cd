import {promptText, SSE_DONE, SseParser} from '@fescuespool/protocol';
import type {ChatChunk, Problem} from '@fescuespool/protocol';
import {expectedCompletion} from '@fescuespool/stand-ins';
import http from 'node:http';
import {CALL_END} from './constants.js';
import {accountKey} from './fleet.js';
import type {CallEnd} from './types.js';

/** Callers disconnect after this multiple of their deadline. */
const DISCONNECT_FACTOR = 1.5;
/** Deadline in milliseconds that is assumed for a call without one. */
const ASSUMED_DEADLINE_MS = 120_000;

/** A chat completion request to an entry. */
export interface ChatCall {
  readonly url: string;
  readonly account: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Idempotency key. */
  readonly key?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Called with the index of each token of a stream as it arrives. */
  readonly onToken?: (position: number) => void;
}

/** Last event of a stream that could not be completed. */
interface StreamError {
  readonly error?: {readonly code: string; readonly outcome: string};
}

/** What a caller received in response to a request. */
export interface CallResult {
  readonly end: CallEnd;
  readonly requestId: string;
  readonly text: string;
  /** Whether the response is complete and its text the expected one. */
  readonly isCorrect: boolean;
  /** The refusal, from the response body or from an error event. */
  readonly problem: Problem | null;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
  readonly tokens: number;
  readonly retryAfterS: number | null;
}

/**
 * Sends a chat completion request and compares the text with the expected
 * completion. A connection error does not reject; it ends the call as broken.
 */
export function callChat(call: ChatCall): Promise<CallResult> {
  const messages = [{role: 'user', content: call.prompt}];
  const body = JSON.stringify({
    model: call.service,
    messages,
    max_tokens: call.maxTokens,
    stream: call.stream,
  });
  const startedAt = performance.now();
  return new Promise(resolve => {
    let text = '';
    let tokens = 0;
    let rawBody = '';
    let firstTokenMs: number | null = null;
    let isDone = false;
    let requestId = '';
    let retryAfterS: number | null = null;
    let problem: Problem | null = null;
    const disconnectTimer = setTimeout(
      () => req.destroy(),
      (call.deadlineMs ?? ASSUMED_DEADLINE_MS) * DISCONNECT_FACTOR,
    );
    const finish = (end: CallEnd, refusal: Problem | null = null): void => {
      clearTimeout(disconnectTimer);
      const expected = expectedCompletion(
        promptText({model: '', messages}),
        call.maxTokens,
      );
      resolve({
        end,
        requestId: refusal?.requestId ?? requestId,
        text,
        isCorrect: end === CALL_END.COMPLETE && text === expected,
        problem: refusal,
        firstTokenMs,
        totalMs: performance.now() - startedAt,
        tokens,
        retryAfterS,
      });
    };
    const req = http.request(`${call.url}/v1/chat/completions`, {
      method: 'POST',
      agent: false,
      signal: call.signal,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${accountKey(call.account)}`,
        ...(call.key ? {'idempotency-key': call.key} : {}),
        ...(call.deadlineMs
          ? {'x-request-deadline-ms': String(call.deadlineMs)}
          : {}),
      },
    });
    req.on('error', () => finish(CALL_END.BROKEN));
    req.on('response', res => {
      requestId = String(res.headers['x-request-id'] ?? '');
      retryAfterS = Number(res.headers['retry-after'] ?? 0) || null;
      const parser = new SseParser();
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        if (!call.stream || res.statusCode !== 200) {
          rawBody += chunk;
          return;
        }
        for (const event of parser.push(chunk)) {
          if (event.data === SSE_DONE) {
            isDone = true;
            continue;
          }
          const parsed = JSON.parse(event.data) as ChatChunk & StreamError;
          if (parsed.error) {
            const {code, outcome} = parsed.error;
            problem = {reason: code, outcome, requestId} as Problem;
            continue;
          }
          const content = parsed.choices?.[0]?.delta?.content;
          if (!content) continue;
          firstTokenMs ??= performance.now() - startedAt;
          call.onToken?.(tokens);
          tokens++;
          text += content;
        }
      });
      res.on('error', () =>
        problem ? finish(CALL_END.REFUSED, problem) : finish(CALL_END.BROKEN),
      );
      res.on('end', () => {
        if (res.statusCode !== 200) {
          finish(CALL_END.REFUSED, JSON.parse(rawBody) as Problem);
          return;
        }
        if (!call.stream) {
          const completion = JSON.parse(rawBody) as {
            choices: Array<{message: {content: string}}>;
            usage: {completion_tokens: number};
          };
          text = completion.choices[0]?.message.content ?? '';
          tokens = completion.usage.completion_tokens;
          isDone = true;
        }
        finish(isDone ? CALL_END.COMPLETE : CALL_END.BROKEN);
      });
    });
    req.end(body);
  });
}
