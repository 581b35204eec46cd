import {
  EventSplitter,
  MAX_EVENT_BYTES,
  MAX_EVENT_CHUNKS,
} from '@fescuespool/gateway';

/** Chunk sizes in bytes that are compared; the last is that of a large read. */
export const CHUNK_SIZES = [1, 17, 16_384] as const;

/** Part of an event that shows the cost per chunk without that of its length. */
const SHORT_DIVISOR = 16;
const REPEATS = 15;
/** Rate in bytes a second above which differences are those of the clock. */
const MAX_MEASURED_RATE = 8_000_000;
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
    for (let size = chunkBytes; size <= eventBytes; size += chunkBytes)
      splitter.push(chunk);
    return performance.now() - startMs;
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(REPEATS / 2)] ?? 0;
}

/** Measures the rate for each of the chunk sizes. */
export function measureChunkRates(): ChunkRate[] {
  return CHUNK_SIZES.map(chunkBytes => {
    // The largest event that is accepted in such chunks.
    const eventBytes = Math.min(MAX_EVENT_BYTES, MAX_EVENT_CHUNKS * chunkBytes);
    const shortBytes = eventBytes / SHORT_DIVISOR;
    const shortMs = measureMs(shortBytes, chunkBytes);
    const wholeMs = measureMs(eventBytes, chunkBytes);
    const ms = Math.max(0, wholeMs - SHORT_DIVISOR * shortMs);
    const rate = (eventBytes / ms) * MS_PER_SECOND;
    const bytesPerS = Math.min(MAX_MEASURED_RATE, rate);
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
