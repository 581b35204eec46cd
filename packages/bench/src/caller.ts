import {promptText, SSE_DONE, SseParser} from '@fescuespool/protocol';
import type {ChatChunk, Problem} from '@fescuespool/protocol';
import {expectedCompletion} from '@fescuespool/stand-ins';
import http from 'node:http';
import {CALL_END} from './constants.js';
import {accountKey} from './fleet.js';
import type {CallEnd} from './types.js';

/** Callers leave after this multiple of their deadline. */
const PATIENCE = 1.5;
const NO_DEADLINE_MS = 120_000;

/** A chat completion as a caller sends it. */
export interface ChatCall {
  readonly url: string;
  readonly account: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly key?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Called with each token as it comes. */
  readonly onToken?: (position: number) => void;
}

/** Last event of a stream that could not be ended whole. */
interface StreamError {
  readonly error?: {readonly code: string; readonly outcome: string};
}

/** What the caller received. */
export interface CallResult {
  readonly end: CallEnd;
  readonly requestId: string;
  readonly text: string;
  /** Whether the text is the whole answer to this very prompt. */
  readonly isRight: boolean;
  readonly problem: Problem | null;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
  readonly tokens: number;
  readonly retryAfterS: number | null;
}

/** Sends a chat completion and checks what comes back. */
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
    let raw = '';
    let firstTokenMs: number | null = null;
    let isDone = false;
    let requestId = '';
    let retryAfterS: number | null = null;
    let problem: Problem | null = null;
    const patience = setTimeout(
      () => req.destroy(),
      (call.deadlineMs ?? NO_DEADLINE_MS) * PATIENCE,
    );
    const finish = (end: CallEnd, refusal: Problem | null = null): void => {
      clearTimeout(patience);
      const expected = expectedCompletion(
        promptText({model: '', messages}),
        call.maxTokens,
      );
      resolve({
        end,
        requestId: refusal?.requestId ?? requestId,
        text,
        isRight: end === CALL_END.COMPLETE && text === expected,
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
          raw += chunk;
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
          finish(CALL_END.REFUSED, JSON.parse(raw) as Problem);
          return;
        }
        if (!call.stream) {
          const answer = JSON.parse(raw) as {
            choices: Array<{message: {content: string}}>;
            usage: {completion_tokens: number};
          };
          text = answer.choices[0]?.message.content ?? '';
          tokens = answer.usage.completion_tokens;
          isDone = true;
        }
        finish(isDone ? CALL_END.COMPLETE : CALL_END.BROKEN);
      });
    });
    req.end(body);
  });
}
