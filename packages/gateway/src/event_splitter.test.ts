import {describe, expect, it} from 'vitest';
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
});
