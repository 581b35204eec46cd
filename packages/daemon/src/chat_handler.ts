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
import {createBufferedSink, createStreamSink} from './chat_sink.js';
import type {DispatchDependencies} from './dispatch.js';
import {dispatch} from './dispatch.js';
import type {RequestScope} from './request_scope.js';

/**
 * Parses a chat completion request; throws a `RefusalError` with all findings.
 */
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

/** Serves a chat completion, streamed or whole; throws a `RefusalError`. */
export async function handleChat(
  dependencies: DispatchDependencies,
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
  const workload = {
    promptTokens: estimateTokens(prompt),
    maxTokens,
    prefixHashes: hashPrefixBlocks(prompt),
    content: prompt,
    isJoinable: true,
  };
  await dispatch(dependencies, scope, workload, grant => {
    const onProgress = (tokenIntervalMs: number | null): void => {
      if (grant.isJoined) return;
      const {requestId, serviceName: service} = scope;
      dependencies.grantClient.reportProgress({
        requestId,
        service,
        tokenIntervalMs,
      });
    };
    const {context} = dependencies;
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
