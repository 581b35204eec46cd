import {LRUCache} from 'lru-cache';
import type {GrantRequest} from '../types.js';

/** Times over the serving version's median at which an answer is slow. */
export const SLOW_FACTOR = 2.5;

/** Milliseconds below which a difference in times is noise. */
const NOISE_MS = 30;

/** Number of recent answers of a class from which its median is taken. */
const SAMPLES_PER_CLASS = 48;

/** Answers of a class below which its median is not known. */
const MIN_SAMPLES = 6;

/** Maximum number of classes; those that were used last are kept. */
const MAX_CLASSES = 512;

/** Class of requests whose answers take about the same time. */
export function classOf({
  route,
  promptTokens,
  outputTokens,
}: Pick<GrantRequest, 'route' | 'promptTokens' | 'outputTokens'>): string {
  const magnitude = (tokens: number): number =>
    Math.round(Math.log2(1 + tokens));
  return `${route ?? ''}/${magnitude(promptTokens)}/${magnitude(outputTokens ?? 0)}`;
}

/** Times of recent answers of the serving versions, by class of request. */
export class AnswerTimes {
  private readonly byClass = new LRUCache<string, number[]>({max: MAX_CLASSES});
  private readonly medians = new Map<string, number>();

  /** Records how long an answer took in milliseconds. */
  record(requestClass: string, runMs: number): void {
    const times = this.byClass.get(requestClass) ?? [];
    times.push(runMs);
    if (times.length > SAMPLES_PER_CLASS) times.shift();
    this.byClass.set(requestClass, times);
    this.medians.delete(requestClass);
  }

  /** Milliseconds after which an answer is slow; null while that isn't known. */
  slowAfterMs(requestClass: string): number | null {
    const times = this.byClass.get(requestClass);
    if (!times || times.length < MIN_SAMPLES) return null;
    let median = this.medians.get(requestClass);
    if (median === undefined) {
      if (this.medians.size > MAX_CLASSES) this.medians.clear();
      median = [...times].sort((a, b) => a - b)[times.length >> 1]!;
      this.medians.set(requestClass, median);
    }
    return SLOW_FACTOR * median + NOISE_MS;
  }

  /** Longest of the recent answers in milliseconds; 0 without any. */
  get longestMs(): number {
    let longest = 0;
    for (const times of this.byClass.values()) {
      for (const ms of times) longest = Math.max(longest, ms);
    }
    return longest;
  }
}
