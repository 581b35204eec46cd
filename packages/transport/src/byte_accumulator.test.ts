import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ByteAccumulator} from './byte_accumulator.js';

describe('ByteAccumulator', () => {
  it('returns the bytes of all chunks', () => {
    const chunks = fc.array(fc.uint8Array({maxLength: 600}));
    fc.assert(
      fc.property(chunks, arrays => {
        const buffers = arrays.map(array => Buffer.from(array));
        const accumulator = new ByteAccumulator();
        for (const buffer of buffers) accumulator.append(buffer);
        expect(accumulator.takeAll()).toEqual(Buffer.concat(buffers));
        expect(accumulator.length).toBe(0);
      }),
    );
  });

  it('allocates at most twice the bytes of many small chunks', () => {
    const accumulator = new ByteAccumulator();
    for (let i = 0; i < 10_000; i++) accumulator.append(Buffer.from('x'));
    expect(accumulator.capacity).toBeLessThanOrEqual(20_000);
  });

  it('keeps the bytes that it has returned', () => {
    const accumulator = new ByteAccumulator();
    accumulator.append(Buffer.from('first'));
    const first = accumulator.takeAll();
    accumulator.append(Buffer.from('other'));
    expect(first.toString()).toBe('first');
  });
});
