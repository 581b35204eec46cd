import {sha256Hex} from '@fescuespool/common';

const LEAST_SHARE = 0.3;
const HASH_RANGE = 0xffffffff;
const WORD_LENGTH = 6;

/** Number of tokens that the emulated engine answers with. */
export function completionLength(prompt: string, maxTokens: number): number {
  const hash = parseInt(sha256Hex(prompt).slice(-8), 16) / HASH_RANGE;
  const share = LEAST_SHARE + (1 - LEAST_SHARE) * hash;
  return Math.max(1, Math.floor(maxTokens * share));
}

/** Token at a position of the answer to a prompt. */
export function completionToken(promptHash: string, position: number): string {
  return `${promptHash.slice(0, WORD_LENGTH)}.${position} `;
}

/** The whole answer to a prompt, by which a caller checks what it received. */
export function expectedCompletion(prompt: string, maxTokens: number): string {
  const hash = sha256Hex(prompt);
  const length = completionLength(prompt, maxTokens);
  return Array.from({length}, (_, i) => completionToken(hash, i)).join('');
}
