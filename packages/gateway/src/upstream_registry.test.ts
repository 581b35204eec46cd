import type {UpstreamSpec} from '@fescuespool/scheduling';
import {describe, expect, it} from 'vitest';
import {UpstreamRegistry} from './upstream_registry.js';

function life(startedAtUnixMs: number | null): UpstreamSpec {
  return {
    instanceId: 'i-1',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 1,
    isLeaving: false,
    startedAtUnixMs,
    softwareVersion: 'v1',
  };
}

describe('UpstreamRegistry', () => {
  it('takes an upstream as replaced only if a newer life is registered', () => {
    const registry = new UpstreamRegistry();
    expect(registry.isReplaced(life(1))).toBe(false);
    registry.replace(new Map([['app', [life(2)]]]), 0);
    expect(registry.isReplaced(life(1))).toBe(true);
    expect(registry.isReplaced(life(2))).toBe(false);
    expect(registry.isReplaced(life(3))).toBe(false);
  });
});
