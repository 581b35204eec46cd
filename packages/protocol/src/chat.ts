import {z} from 'zod';

const CONTENT_PART = z.looseObject({text: z.string().optional()});

const MESSAGE = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(CONTENT_PART), z.null()]).optional(),
});

/** Schema of a chat completion request; unknown fields are passed on. */
export const CHAT_REQUEST_SCHEMA = z.looseObject({
  model: z.string().min(1),
  messages: z.array(MESSAGE).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().min(1).max(1_000_000).nullish(),
  max_completion_tokens: z.number().int().min(1).max(1_000_000).nullish(),
});

/** A chat completion request in the OpenAI format. */
export type ChatRequest = z.infer<typeof CHAT_REQUEST_SCHEMA>;

/** Token counts that an upstream reports at the end of a stream. */
export interface ChatUsage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details?: {readonly cached_tokens?: number};
}

/** The fields of a chat completion chunk that are read. */
export interface ChatChunk {
  readonly id?: string;
  readonly created?: number;
  readonly model?: string;
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly role?: string; readonly content?: string | null};
    readonly finish_reason?: string | null;
  }>;
  readonly usage?: ChatUsage | null;
}

/** Joins the messages of a request in the order in which engines cache them. */
export function promptText(req: ChatRequest): string {
  return req.messages
    .map(message => {
      const {content} = message;
      const text =
        typeof content === 'string'
          ? content
          : (content ?? []).map(part => part.text ?? '').join('');
      return `${message.role}:${text}\n`;
    })
    .join('');
}
