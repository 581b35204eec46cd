import {describe, expect, it} from 'vitest';
import {compareLives} from './upstream_life.js';

describe('compareLives', () => {
  it('tells a restart under the same id by the start time', () => {
    expect(compareLives(1_000, 1_000)).toBe('same');
    expect(compareLives(1_000, 2_000)).toBe('replaced');
    expect(compareLives(2_000, 1_000)).toBe('replaced');
  });

  it('takes an upstream that does not tell for the same', () => {
    expect(compareLives(null, 1_000)).toBe('same');
    expect(compareLives(1_000, null)).toBe('same');
  });
});
