import {EventSplitter} from '@fescuespool/gateway';

/** Chunk sizes in bytes that are compared; the last is that of a large read. */
export const CHUNK_SIZES = [1, 17, 16_384] as const;

/** Bytes of one incomplete event, close to the largest that is accepted. */
const EVENT_BYTES = 245_760;
/** Part of an event that shows the cost per chunk without that of its length. */
const SHORT_DIVISOR = 16;
const REPEATS = 15;
/** Longest time for an event in milliseconds that counts as immeasurable. */
const RESOLUTION_MS = 2;
/** Most by which the rate of small chunks may be lower. */
const MAX_RATE_RATIO = 10;
const MS_PER_SECOND = 1_000;

/** How fast an event is taken in, in chunks of one size. */
export interface ChunkRate {
  readonly chunkBytes: number;
  /** Bytes a second, without the constant cost per chunk. */
  readonly bytesPerS: number;
}

/** Median milliseconds to take in the beginning of an event. */
function measureMs(eventBytes: number, chunkBytes: number): number {
  const chunk = Buffer.alloc(chunkBytes, 'x\n');
  const times = Array.from({length: REPEATS}, () => {
    const splitter = new EventSplitter();
    const startMs = performance.now();
    for (let size = 0; size < eventBytes; size += chunkBytes)
      splitter.push(chunk);
    return performance.now() - startMs;
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(REPEATS / 2)] ?? 0;
}

/** Measures the rate for each of the chunk sizes. */
export function measureChunkRates(): ChunkRate[] {
  return CHUNK_SIZES.map(chunkBytes => {
    const shortBytes = EVENT_BYTES / SHORT_DIVISOR;
    const shortMs = measureMs(shortBytes, Math.min(chunkBytes, shortBytes));
    const wholeMs = measureMs(EVENT_BYTES, chunkBytes);
    const ms = Math.max(RESOLUTION_MS, wholeMs - SHORT_DIVISOR * shortMs);
    const bytesPerS = (EVENT_BYTES / ms) * MS_PER_SECOND;
    return {chunkBytes, bytesPerS};
  });
}

/** A line for each chunk size whose rate is too far below the highest one. */
export function findChunkRateBreaches(rates: readonly ChunkRate[]): string[] {
  const highest = Math.max(...rates.map(({bytesPerS}) => bytesPerS));
  return rates
    .filter(({bytesPerS}) => bytesPerS * MAX_RATE_RATIO < highest)
    .map(
      ({chunkBytes, bytesPerS}) =>
        `chunks of ${chunkBytes} bytes: ${Math.round(bytesPerS)} bytes/s, ` +
        `below a tenth of ${Math.round(highest)}`,
    );
}
