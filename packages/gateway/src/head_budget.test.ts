import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import {HeadBudget, headBytesOf, stripHead} from './head_budget.js';

const LIMIT_BYTES = 800;
/** Largest head that has room while nothing is held. */
const LARGEST = 100;

describe('HeadBudget', () => {
  const fill = (heads: HeadBudget, bytes: number): number => {
    let count = 0;
    while (heads.makeRoom(bytes)) {
      heads.charge(bytes);
      count++;
    }
    return count;
  };

  it('has room for a head that fits while nothing is held', () => {
    const heads = new HeadBudget(LIMIT_BYTES);
    expect([heads.canHold(LARGEST), heads.canHold(LARGEST + 1)]).toEqual([
      true,
      false,
    ]);
    expect(heads.makeRoom(LARGEST)).toBe(true);
  });

  it('leaves room for small heads beside any number of large ones', () => {
    const heads = new HeadBudget(LIMIT_BYTES);
    expect(fill(heads, 20)).toBeGreaterThan(10);
    expect(fill(heads, 2)).toBeGreaterThan(20);
    expect(heads.heldBytes).toBeLessThanOrEqual(LIMIT_BYTES);
  });

  it('asks the connection that can give up the most', () => {
    const heads = new HeadBudget(LIMIT_BYTES);
    const dropped: string[] = [];
    const hold = (name: string, bytes: number): void => {
      const holder = {
        droppableBytes: bytes,
        drop: () => {
          dropped.push(name);
          heads.remove(holder);
          heads.charge(-bytes);
        },
      };
      heads.charge(bytes);
      heads.add(holder);
    };
    for (const bytes of [250, 300, 200]) hold(`of ${bytes}`, bytes);
    expect(heads.makeRoom(30)).toBe(true);
    expect(dropped).toEqual(['of 300']);
    expect(heads.heldBytes).toBe(450);
  });

  it('asks no connection for a head that is larger', () => {
    const heads = new HeadBudget(LIMIT_BYTES);
    const drop = (): void => expect.unreachable();
    heads.charge(790);
    heads.add({droppableBytes: 50, drop});
    expect(heads.makeRoom(50)).toBe(false);
  });
});

describe('a head', () => {
  const create = (fields: Record<string, string>): IncomingMessage =>
    ({
      url: '/',
      headers: fields,
      rawHeaders: Object.entries(fields).flat(),
    }) as unknown as IncomingMessage;

  it('is estimated by its fields and its text', () => {
    const short = Object.fromEntries(
      Array.from({length: 990}, (_, i) => [`f${1_000 + i}`, 'value']),
    );
    // Measured: 127,000 bytes of heap.
    expect(headBytesOf(create(short))).toBeGreaterThan(127_000);
    const long = headBytesOf(create({a: 'x'.repeat(16_000)}));
    expect(long).toBeGreaterThan(37_000);
    expect(long).toBeLessThan(38_000);
  });

  it('keeps the framing of its body when it is freed', () => {
    const req = create({host: 'a', 'content-length': '5'});
    stripHead(req);
    expect(req.headers).toEqual({'content-length': '5'});
    expect(req.rawHeaders).toEqual([]);
  });
});
