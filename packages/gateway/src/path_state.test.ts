import {beforeEach, describe, expect, it} from 'vitest';
import {PathState} from './path_state.js';

describe('PathState', () => {
  let state: PathState;

  beforeEach(() => {
    state = new PathState();
    state.recordDirect('a', 10);
    state.recordLost('b', 20);
  });

  it('takes a single lost path for that of its upstream only', () => {
    expect(['a', 'b'].map(address => state.isLost(address))).toEqual([
      false,
      true,
    ]);
    expect(state.isCutOff).toBe(false);
  });

  it('takes several lost paths without a connection since for a cut', () => {
    state.recordLost('c', 21);
    expect(state.isCutOff).toBe(true);
    expect(state.isLost('a')).toBe(true);
  });

  it('ends a cut with the next connection, but not the other lost paths', () => {
    state.recordLost('c', 21);
    state.recordDirect('c', 30);
    expect(state.isCutOff).toBe(false);
    expect(state.lostAddresses).toEqual(['b']);
  });

  it('takes no lost paths from before the last connection for a cut', () => {
    state.recordDirect('a', 25);
    state.recordLost('c', 30);
    expect(state.isCutOff).toBe(false);
  });

  it('forgets the paths to upstreams that are gone', () => {
    state.retain(new Set(['a']));
    expect(state.lostAddresses).toEqual([]);
  });
});
