import type {GrantRequest} from '../types.js';

/** Tokens of a prompt that take an engine about as long as one of output. */
const OUTPUT_TOKEN_WEIGHT = 10;

/** Work of a request in tokens of a prompt; 1 for a call without tokens. */
export function workOf({promptTokens, outputTokens}: GrantRequest): number {
  return Math.max(1, promptTokens + OUTPUT_TOKEN_WEIGHT * (outputTokens ?? 0));
}
