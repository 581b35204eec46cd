import {createHash} from 'node:crypto';
import {
  CHARS_PER_TOKEN,
  MAX_PREFIX_BLOCKS,
  PREFIX_BLOCK_CHARS,
} from './constants.js';

const HASH_LENGTH = 12;

/** Estimates the number of tokens from the length of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/**
 * Hashes the complete blocks of a prompt, at most `MAX_PREFIX_BLOCKS`. Each
 * hash is chained to the previous one, so that equal hashes mean equal
 * prefixes.
 */
export function hashPrefixBlocks(text: string): string[] {
  const wholeBlocks = Math.floor(text.length / PREFIX_BLOCK_CHARS);
  const blockCount = Math.min(wholeBlocks, MAX_PREFIX_BLOCKS);
  const hashes: string[] = [];
  let previous = '';
  for (let i = 0; i < blockCount; i++) {
    const start = i * PREFIX_BLOCK_CHARS;
    const block = text.slice(start, start + PREFIX_BLOCK_CHARS);
    previous = createHash('sha256')
      .update(previous)
      .update(block)
      .digest('hex')
      .slice(0, HASH_LENGTH);
    hashes.push(previous);
  }
  return hashes;
}
