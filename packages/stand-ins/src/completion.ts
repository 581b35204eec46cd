import {sha256Hex} from '@fescuespool/common';

const MIN_LENGTH_SHARE = 0.3;
const MAX_HASH = 0xffffffff;
const TOKEN_HASH_LENGTH = 6;

/**
 * Number of tokens in the completion of a prompt: a share of `maxTokens` that
 * depends on the prompt's hash, so that callers can predict it.
 */
export function completionLength(prompt: string, maxTokens: number): number {
  const hash = parseInt(sha256Hex(prompt).slice(-8), 16) / MAX_HASH;
  const share = MIN_LENGTH_SHARE + (1 - MIN_LENGTH_SHARE) * hash;
  return Math.max(1, Math.floor(maxTokens * share));
}

/** Token at a position of the completion of a prompt. */
export function completionToken(promptHash: string, position: number): string {
  return `${promptHash.slice(0, TOKEN_HASH_LENGTH)}.${position} `;
}

/** Complete text that a prompt yields; callers compare responses with it. */
export function expectedCompletion(prompt: string, maxTokens: number): string {
  const hash = sha256Hex(prompt);
  const length = completionLength(prompt, maxTokens);
  return Array.from({length}, (_, i) => completionToken(hash, i)).join('');
}
