import {describe, expect, it} from 'vitest';
import type {PromptPart} from '../types.js';
import {PrefixCache} from './prefix_cache.js';

const READER = {
  idOf: ({id}: PromptPart) => id,
  tokensOf: ({tokens}: PromptPart) => tokens,
};
const SYSTEM = {id: 'a1', tokens: 600};
const TOOLS = {id: 'b2', tokens: 300};
const QUESTION = {id: 'c3', tokens: 100};
const PROMPT = [SYSTEM, TOOLS, QUESTION];

function cacheWith(...prompts: PromptPart[][]): PrefixCache<PromptPart> {
  const cache = new PrefixCache(READER, 1_000, 4);
  for (const prompt of prompts) cache.insert(prompt);
  return cache;
}

describe('PrefixCache', () => {
  it('counts a part only with all parts before it', () => {
    const cache = cacheWith(PROMPT);
    expect(cache.cachedTokens(PROMPT)).toBe(1_000);
    expect(cache.cachedTokens([SYSTEM, QUESTION])).toBe(700);
    expect(cache.cachedTokens([{id: 'd4', tokens: 5}, SYSTEM])).toBe(0);
    cache.evict([TOOLS.id]);
    expect(cache.cachedTokens(PROMPT)).toBe(600);
  });

  it('takes a part of another length for another part', () => {
    const cache = cacheWith([SYSTEM]);
    expect(cache.cachedTokens([{...SYSTEM, tokens: 999_999_999}])).toBe(0);
  });

  it('drops the end of the prompt that was used least recently', () => {
    const cache = cacheWith([SYSTEM, TOOLS], [{id: 'd4', tokens: 200}]);
    expect(cache.cachedTokens([SYSTEM, TOOLS])).toBe(600);
    cache.resize(700);
    expect(cache.cachedTokens([SYSTEM])).toBe(0);
    expect(cache.size).toBe(1);
  });

  it('stays within its number of parts', () => {
    const cache = cacheWith(
      Array.from({length: 9}, (_, i) => ({id: `p${i}`, tokens: 0})),
    );
    expect(cache.size).toBe(4);
  });

  it('drops a prompt with all that was not used since', () => {
    const cache = cacheWith([TOOLS], [QUESTION], [SYSTEM]);
    cache.evictUpTo([QUESTION]);
    expect(cache.cachedTokens([TOOLS])).toBe(0);
    expect(cache.cachedTokens([QUESTION])).toBe(0);
    expect(cache.cachedTokens([SYSTEM])).toBe(600);
  });
});
