import {beforeEach, describe, expect, it} from 'vitest';
import {ConfigState} from './config_state.js';
import type {GatewayConfig} from './types.js';

function config(version: number): GatewayConfig {
  return {
    version,
    routes: [],
    accountsByKey: new Map(),
    requiresKeys: false,
    limits: {maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1},
  };
}

describe('ConfigState', () => {
  let state: ConfigState;
  let loggedEvents: string[];

  beforeEach(() => {
    loggedEvents = [];
    const write = (event: string): void => void loggedEvents.push(event);
    const log = {debug: write, info: write, warn: write, error: write};
    state = new ConfigState(() => 0, log);
  });

  it('does not go back to an older version', () => {
    state.apply(config(2));
    state.apply(config(1));
    expect(state.current?.version).toBe(2);
  });

  describe('when another member has a newer version in force', () => {
    it('does not begin with an older one', () => {
      state.recordElsewhere(3);
      state.apply(config(2));
      expect(state.current).toBe(null);
      expect(loggedEvents).toEqual(['config_outdated']);
      state.apply(config(3));
      expect(state.current?.version).toBe(3);
    });

    it('goes on to an older one, but does not confirm it', () => {
      state.apply(config(1));
      state.recordElsewhere(3);
      state.apply(config(2));
      state.confirm(0);
      expect(state.current?.version).toBe(2);
      expect(state.ageMs).toBe(Infinity);
    });
  });
});
