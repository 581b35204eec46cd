import fc from 'fast-check';
import {describe, expect, it, vi} from 'vitest';
import {MAX_EVENT_CHUNKS} from './constants.js';
import {EventSplitter} from './event_splitter.js';

function eventsIn(text: string): {ids: (string | null)[]; isSpoilt: boolean} {
  const splitter = new EventSplitter();
  const ids = splitter.push(Buffer.from(text)).map(({id}) => id);
  return {ids, isSpoilt: splitter.isSpoilt};
}

describe('EventSplitter', () => {
  it('takes events, comments and fields that it does not know', () => {
    const text = 'id: 1\ndata: a\n\n:\n\nx-any-field: 3\nid: 2\ndata\n\n\n\n';
    expect(eventsIn(text)).toEqual({
      ids: ['1', null, '2', null],
      isSpoilt: false,
    });
  });

  it.each([
    ['the head of a response', 'HTTP/1.1 500 Internal\r\nX: y\r\n\r\n'],
    ['text', 'upstream request failed\n\n'],
  ])('keeps the events before %s, and nothing after it', (_name, text) => {
    const after = `id: 1\ndata: a\n\n${text}id: 2\ndata: b\n\n`;
    expect(eventsIn(after)).toEqual({ids: ['1'], isSpoilt: true});
  });

  it('finds the same events in any chunks', () => {
    const pieces = fc.array(
      fc.constantFrom('\n', '\r\n', '\r', 'id: 1', 'data: a', ':', 'x', '\n\n'),
      {maxLength: 40},
    );
    const cuts = fc.array(fc.nat({max: 6}), {minLength: 1, maxLength: 20});
    fc.assert(
      fc.property(pieces, cuts, (texts, sizes) => {
        const bytes = Buffer.from(texts.join(''));
        const whole = new EventSplitter();
        const expected = whole.push(bytes).map(({bytes: b}) => b.toString());
        const splitter = new EventSplitter();
        const found: string[] = [];
        for (let start = 0, i = 0; start < bytes.length; i++) {
          const end = start + 1 + sizes[i % sizes.length]!;
          const events = splitter.push(bytes.subarray(start, end));
          found.push(...events.map(({bytes: b}) => b.toString()));
          start = end;
        }
        expect(found).toEqual(expected);
        expect(splitter.isSpoilt).toBe(whole.isSpoilt);
        expect(splitter.pendingBytes).toBe(whole.pendingBytes);
      }),
    );
  });

  describe('work', () => {
    /** Bytes that are copied together or searched while `run` runs. */
    const workOf = (run: () => void): number => {
      let work = 0;
      const {concat} = Buffer;
      const {copy, indexOf} = Buffer.prototype;
      const spies = [
        vi.spyOn(Buffer, 'concat').mockImplementation((list, size) => {
          const joined = concat(list, size);
          work += joined.length;
          return joined;
        }),
        vi.spyOn(Buffer.prototype, 'copy').mockImplementation(function (
          this: Buffer,
          ...args: unknown[]
        ) {
          const count = copy.apply(this, args as Parameters<Buffer['copy']>);
          work += count;
          return count;
        }),
        vi.spyOn(Buffer.prototype, 'indexOf').mockImplementation(function (
          this: Buffer,
          ...args: unknown[]
        ) {
          const at = indexOf.apply(this, args as Parameters<Buffer['indexOf']>);
          work += (at < 0 ? this.length : at) - Number(args[1] ?? 0);
          return at;
        }),
      ];
      try {
        run();
      } finally {
        for (const spy of spies) spy.mockRestore();
      }
      return work;
    };
    const BYTES = MAX_EVENT_CHUNKS;
    /** Copies and searches of each byte that are allowed. */
    const MAX_WORK_PER_BYTE = 16;

    // Guards against a gateway that does nothing else while an upstream writes
    // a stream in small chunks that end no event.
    it.each([1, 17])('is linear in bytes for chunks of %d', size => {
      const chunk = Buffer.from('\n'.padStart(size, 'x'));
      const splitter = new EventSplitter();
      const work = workOf(() => {
        for (let i = 0; i < BYTES; i += size) {
          splitter.push(i % (2 * size) === 0 ? chunk : Buffer.alloc(size, 'x'));
        }
      });
      expect(work).toBeLessThan(MAX_WORK_PER_BYTE * BYTES);
    });

    // Guards against the same gateway, where the chunks alone keep it busy.
    it('ends with an event of too many chunks', () => {
      const splitter = new EventSplitter();
      const chunk = Buffer.from('x');
      for (let i = 0; i < MAX_EVENT_CHUNKS; i++) splitter.push(chunk);
      expect(() => splitter.push(chunk)).toThrow(RangeError);
    });

    it('goes on through many events of many chunks', () => {
      const splitter = new EventSplitter();
      const event = [...'id: 1\n\n'].map(text => Buffer.from(text));
      let count = 0;
      for (let i = 0; i < MAX_EVENT_CHUNKS; i++) {
        for (const chunk of event) count += splitter.push(chunk).length;
      }
      expect(count).toBe(MAX_EVENT_CHUNKS);
    });

    it('is linear in bytes for a chunk of many events', () => {
      const events = Buffer.from('id: 1\n\n'.repeat(Math.floor(BYTES / 7)));
      const splitter = new EventSplitter();
      const work = workOf(() => void splitter.push(events));
      expect(work).toBeLessThan(MAX_WORK_PER_BYTE * BYTES);
    });
  });
});
