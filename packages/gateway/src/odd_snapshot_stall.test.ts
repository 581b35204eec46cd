import {describe, expect, it} from 'vitest';
import {decodeSnapshot, encodeSnapshot} from './stream_snapshot.js';

const ODD_ITEMS = 400_000;
/** Far longer than a snapshot of as many bytes takes that can be read. */
const MAX_DECODING_MS = 500;

describe('decodeSnapshot', () => {
  it.each([
    ['streams', `{"streams":[${'0,'.repeat(ODD_ITEMS)}0]}`],
    [
      'request ids',
      `{"streams":[{"service":"a","softwareVersion":"v1","begunBy":[${'0,'.repeat(ODD_ITEMS)}0]}]}`,
    ],
  ])('does not stall the process over many odd %s', (_, json) => {
    const startMs = performance.now();
    const decoded = decodeSnapshot('snapshot', Buffer.from(json));
    expect(performance.now() - startMs).toBeLessThan(MAX_DECODING_MS);
    expect(decoded.isErr()).toBe(true);
  });

  it('reads what is encoded', () => {
    const origin = {service: 'app', softwareVersion: 'v1', send: 2};
    const entries: [string, typeof origin][] = [
      ['stream-1', origin],
      ['stream-2', {...origin, softwareVersion: 'v2'}],
      ['stream-3', origin],
    ];
    const decoded = decodeSnapshot('snapshot', encodeSnapshot(entries));
    expect(new Map(decoded._unsafeUnwrap())).toEqual(new Map(entries));
  });
});
