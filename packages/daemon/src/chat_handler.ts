import {checkAgainstSchema, parseJson} from '@fescuespool/common';
import {
  estimateTokens,
  hashPrefixBlocks,
  OUTCOME,
  REFUSAL_REASON,
} from '@fescuespool/coordination';
import type {ChatRequest} from '@fescuespool/protocol';
import {
  CHAT_REQUEST_SCHEMA,
  DEFAULT_MAX_TOKENS,
  promptText,
  RefusalError,
} from '@fescuespool/protocol';
import type {ServerResponse} from 'node:http';
import {ChatRun} from './chat_run.js';
import {createStreamSink, createBufferedSink} from './chat_sink.js';
import type {DispatchDependencies} from './dispatch.js';
import {dispatch} from './dispatch.js';
import type {RequestScope} from './request_scope.js';

/** Reads a chat completion request; throws a refusal with all findings. */
export function parseChatRequest(body: Buffer): ChatRequest {
  const parsed = parseJson('body', body.toString()).andThen(value =>
    checkAgainstSchema('body', CHAT_REQUEST_SCHEMA, value),
  );
  if (parsed.isOk()) return parsed.value;
  const {findings} = parsed.error;
  throw new RefusalError(
    REFUSAL_REASON.BAD_REQUEST,
    OUTCOME.NOT_RUN,
    'invalid chat completion request',
    {findings},
  );
}

/** Serves a chat completion; throws a refusal. */
export async function handleChat(
  parts: DispatchDependencies,
  scope: RequestScope,
  chat: ChatRequest,
  res: ServerResponse,
): Promise<void> {
  const prompt = promptText(chat);
  const maxTokens =
    chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_TOKENS;
  const sink = chat.stream
    ? createStreamSink(res, scope.requestId)
    : createBufferedSink(res, scope.requestId, chat.model);
  const body = JSON.stringify({
    ...chat,
    stream: true,
    stream_options: {include_usage: true},
  });
  const work = {
    promptTokens: estimateTokens(prompt),
    maxTokens,
    prefixHashes: hashPrefixBlocks(prompt),
    content: prompt,
    isJoinable: true,
  };
  await dispatch(parts, scope, work, grant => {
    const onProgress = (tokenIntervalMs: number | null): void => {
      if (grant.isJoined) return;
      const {requestId, serviceName: service} = scope;
      parts.grants.reportProgress({requestId, service, tokenIntervalMs});
    };
    const {context} = parts;
    return new ChatRun({
      context,
      scope,
      grant,
      body,
      sink,
      onProgress,
    }).run();
  });
}
